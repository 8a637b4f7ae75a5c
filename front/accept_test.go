package front

import (
	"context"
	"encoding/json"
	"net"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/brain"
	"harehook.dev/harehook/conductor"
	"harehook.dev/harehook/internal/standin"
	"harehook.dev/harehook/site"
)

// accepting is a front that lets connections in, to a core that knows a zone and no node; its core never gets a turn.
func accepting(t *testing.T, sockets int) (f *Front, address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := site.Deployment{Zones: []string{"north"}, Kinds: []string{"small"}, Routes: []string{"quote"},
		Site: brain.Site{Zones: 1, Kinds: 1, Proxies: 8, Routes: []brain.Route{{SLOTime: 1, Importance: 1}}}}
	f = &Front{Core: conductor.New(d, nil, NewOrders(), zap.NewNop()), Listener: listener, Sockets: sockets,
		Memory: 192e6, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.accept(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Error("a goroutine of a connection does not end")
		}
	})
	return f, listener.Addr().String()
}

// Who is pushed out while it waits for the answer to a ping leaves nothing behind: before a conductor is ready a flood
// must not pile up waiting goroutines.
func TestFloodBeforeReady(t *testing.T) {
	const sockets, flood = 96, 300 // half of the descriptors are for connections
	before := runtime.NumGoroutine()
	f, address := accepting(t, sockets)
	for range flood {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		ping := standin.Collector{Conn: c}
		if err := ping.Say(map[string]string{"@type": "PING"}); err != nil {
			t.Fatal(err)
		}
	}
	most, within := before+sockets/2+8, time.Now().Add(20*time.Second)
	for f.counters.Accepted.Load() < flood || runtime.NumGoroutine() > most {
		if time.Sleep(time.Millisecond); time.Now().After(within) {
			t.Fatalf("%d goroutines with %d connections of %d let in, at most %d are wanted",
				runtime.NumGoroutine(), f.counters.Accepted.Load(), flood, most)
		}
	}
}

// A message has its own time for its rest, however the messages before it were cut: a collector whose reads always end
// within a message is none who never ends one.
func TestCutWithin(t *testing.T) {
	f, address := accepting(t, 96)
	c, err := standin.Collect(address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ping, err := json.Marshal(map[string]string{"@type": "PING", "pad": "........"})
	if err != nil {
		t.Fatal(err)
	}
	frame := append([]byte{byte(len(ping)), 0, 0, 0}, ping...)
	half := len(frame) / 2
	f.Core.ListWhole([]conductor.Entry{{Node: "s", Zone: "north", Kind: "small", Condition: brain.Ready}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Core.Run(ctx) // it is ready then
	piece := frame[:half]
	for began := time.Now(); time.Since(began) < restWithin+time.Second; time.Sleep(restWithin / 8) {
		if _, err := c.Write(piece); err != nil {
			t.Fatal(err)
		}
		piece = append(append([]byte{}, frame[half:]...), frame[:half]...)
	}
	if _, err := c.Write(frame[half:]); err != nil {
		t.Fatal(err)
	}
	if err := c.Ping(); err != nil {
		t.Errorf("the connection was closed: %v", err)
	}
}

// The account of memory holds whatever order connections are read, dropped and removed in.
func TestHeld(t *testing.T) {
	all := &peers{open: map[*peer]struct{}{}, most: 8, heldMost: 100}
	var in []*peer
	for range 3 {
		near, _ := pair(t)
		p := &peer{conn: near, gone: func() {}}
		all.add(p)
		in = append(in, p)
	}
	steps := []struct {
		what   func() bool
		closed bool
		held   int64
	}{
		{func() bool { return all.hold(in[0], 60) }, false, 60},
		{func() bool { return all.hold(in[1], 30) }, false, 90},
		{func() bool { return all.hold(in[2], 20) }, true, 50},  // the first was dropped for it
		{func() bool { return all.hold(in[0], 45) }, false, 95}, // its read was under way
		{func() bool { all.remove(in[0]); return false }, false, 50},
		{func() bool { return all.hold(in[1], 200) }, true, 20}, // the one that reads is the one that holds most
		{func() bool { all.remove(in[1]); return false }, false, 20},
		{func() bool { all.remove(in[2]); return false }, false, 0},
	}
	for k, s := range steps {
		if closed := s.what(); closed != s.closed || all.held.Load() != s.held {
			t.Errorf("step %d: closed %t, %d bytes held, want %t and %d", k, closed, all.held.Load(), s.closed, s.held)
		}
	}
}
