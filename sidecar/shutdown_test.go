package sidecar

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/xds"
)

// hookedListener is a listener whose connections call a hook before they set a read deadline.
type hookedListener struct {
	net.Listener
	beforeReadDeadline func()
}

func (l hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return hookedConn{conn, l.beforeReadDeadline}, nil
}

type hookedConn struct {
	net.Conn
	beforeReadDeadline func()
}

func (c hookedConn) SetReadDeadline(deadline time.Time) error {
	c.beforeReadDeadline()
	return c.Conn.SetReadDeadline(deadline)
}

// The proxy is stopped just as a connection starts to wait for its next request, or while a request is in flight to a
// node that never responds. Shutdown was delayed by up to a minute for the idle connection, and by the time limit for
// the request. Neither must delay it.
func TestShutdownDuringWaitOrRequest(t *testing.T) {
	const shutdownTimeout = 5 * time.Second // shutdown takes milliseconds; an idle connection waits a minute, a request to this node 15 s
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	port := uint32(silent.Addr().(*net.TCPAddr).Port)
	table := &RoutingTable{Routes: []RouteEntry{{Name: "q", Prefix: "/q", Fraction: 1, Cluster: "c"}},
		Clusters: map[string][]WeightedNode{"c": {{Node: "s", Weight: 1, Address: xds.Address{Host: "127.0.0.1", Port: port}}}}}
	for name, request := range map[string]string{"idle connection": "", "request in flight": "GET /q HTTP/1.1\r\nHost: x\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			waiting, release := make(chan struct{}), make(chan struct{})
			var once sync.Once
			beforeReadDeadline := func() {
				if request == "" {
					once.Do(func() { close(waiting); <-release })
				}
			}
			proxy := &Proxy{Listener: hookedListener{listener, beforeReadDeadline}, Table: func() *RoutingTable { return table }, ConnectTimeout: time.Second, MaxConnections: 4, Seed: 1,
				Log: zap.NewNop(), Load: NewLoadRecorder(time.Now())}
			stopped := make(chan struct{})
			go func() { defer close(stopped); proxy.Run(ctx) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, request)
			if request == "" {
				<-waiting
			} else if accepted, err := silent.Accept(); err == nil {
				defer accepted.Close()
			}
			cancel()
			if request == "" {
				// Gives the shutdown time to act on the connection before the read deadline is set.
				time.AfterFunc(100*time.Millisecond, func() { close(release) })
			}
			select {
			case <-stopped:
			case <-time.After(shutdownTimeout):
				t.Errorf("%s: shutdown takes longer than %s", name, shutdownTimeout)
			}
			conn.Close()
		})
	}
}
