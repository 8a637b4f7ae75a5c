package fakeplatform

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"time"
)

const heartbeatInterval = time.Second // between two heartbeats to a watcher

// BreakWatches closes the connections of all watchers. It calls afterBreak before any new watch can start.
func (r *Relay) BreakWatches(afterBreak func()) {
	r.Lock()
	for conn := range r.watchers {
		conn.Close()
		delete(r.watchers, conn)
	}
	r.silent = true
	r.Unlock()
	afterBreak()
	r.Silence(false)
}

// Silence stops all events and heartbeats if silent is true, and resumes them if it is false. Connections stay open.
// Events that occur in between are not sent later.
func (r *Relay) Silence(silent bool) {
	r.Lock()
	defer r.Unlock()
	r.silent = silent
	r.notifyChanged()
}

func formatJoinedLine(p Proxy) string {
	isNew := 0
	if p.IsNew {
		isNew = 1
	}
	return fmt.Sprintf("* SUBSCRIBE %d %s %g %d\r\n", p.ID, p.Zone, p.Rate, isNew)
}

// notifyWatchers writes a line to all watchers. The caller holds the mutex.
func (r *Relay) notifyWatchers(line string) {
	if r.silent {
		return
	}
	for conn := range r.watchers {
		writeLine(conn, line)
	}
}

// writeLine writes a line with the timeout heartbeatInterval, so that a watcher that never reads cannot block the
// others for longer.
func writeLine(conn net.Conn, line string) {
	conn.SetWriteDeadline(time.Now().Add(heartbeatInterval))
	fmt.Fprint(conn, line)
}

// serveWatch starts a watch and sends heartbeats until the watcher disconnects. notifyWatchers writes the events.
func (r *Relay) serveWatch(conn net.Conn) {
	r.startWatch(conn)
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		conn.Read(make([]byte, 1)) //nolint:errcheck // a watcher sends nothing more; Read returns when it disconnects
	}()
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	for {
		select {
		case <-disconnected:
			r.Lock()
			delete(r.watchers, conn)
			r.Unlock()
			return
		case <-heartbeats.C:
			r.Lock()
			if _, watching := r.watchers[conn]; watching && !r.silent {
				writeLine(conn, "*\r\n")
			}
			r.Unlock()
		}
	}
}

// startWatch waits until the relay is not silent, writes the initial lines of a watch, which list the joined proxies,
// and registers the watcher.
func (r *Relay) startWatch(conn net.Conn) {
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
		writeLine(conn, formatJoinedLine(r.joined[id]))
	}
	writeLine(conn, "*\r\n")
	r.watchers[conn] = struct{}{}
}
