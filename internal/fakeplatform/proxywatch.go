package fakeplatform

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"time"
)

const aliveInterval = time.Second // between two signs of life to watchers

// BreakWatches breaks the connections of all watchers; between happens before anyone can watch again.
func (r *Relay) BreakWatches(between func()) {
	r.Lock()
	for conn := range r.watchers {
		conn.Close()
		delete(r.watchers, conn)
	}
	r.silent = true
	r.Unlock()
	between()
	r.Silence(false)
}

// Silence stops, or starts again, all events and signs of life; connections stay open. What happens meanwhile is not
// reported later.
func (r *Relay) Silence(silent bool) {
	r.Lock()
	defer r.Unlock()
	r.silent = silent
	r.notifyChanged()
}

func joinedLine(p Proxy) string {
	isNew := 0
	if p.IsNew {
		isNew = 1
	}
	return fmt.Sprintf("* SUBSCRIBE %d %s %g %d\r\n", p.ID, p.Zone, p.Rate, isNew)
}

// notifyWatchers writes a line to all watchers; the mutex is held.
func (r *Relay) notifyWatchers(line string) {
	if r.silent {
		return
	}
	for conn := range r.watchers {
		writeLine(conn, line)
	}
}

// writeLine writes within aliveInterval, so that a watcher that never reads holds up no other for longer.
func writeLine(conn net.Conn, line string) {
	conn.SetWriteDeadline(time.Now().Add(aliveInterval))
	fmt.Fprint(conn, line)
}

// serveWatch reports the proxies that are joined, and then signs of life beside the events that others write.
func (r *Relay) serveWatch(conn net.Conn) {
	r.openWatch(conn)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		conn.Read(make([]byte, 1)) //nolint:errcheck // a watcher writes nothing more: its end is an error
	}()
	alive := time.NewTicker(aliveInterval)
	defer alive.Stop()
	for {
		select {
		case <-gone:
			r.Lock()
			delete(r.watchers, conn)
			r.Unlock()
			return
		case <-alive.C:
			r.Lock()
			if _, watches := r.watchers[conn]; watches && !r.silent {
				writeLine(conn, "*\r\n")
			}
			r.Unlock()
		}
	}
}

// openWatch waits until the relay is not silent, and writes what stands at the beginning of a watch.
func (r *Relay) openWatch(conn net.Conn) {
	r.Lock()
	defer r.Unlock()
	r.Watches++
	r.notifyChanged()
	for r.silent {
		changes := r.changes
		r.Unlock()
		<-changes
		r.Lock()
	}
	writeLine(conn, "OK\r\n")
	for _, id := range slices.Sorted(maps.Keys(r.joined)) {
		writeLine(conn, joinedLine(r.joined[id]))
	}
	writeLine(conn, "*\r\n")
	r.watchers[conn] = struct{}{}
}
