package fakeplatform

import (
	"bufio"
	"fmt"
	"net"
)

// Proxy describes a proxy that can join the relay.
type Proxy struct {
	ID    int
	Zone  string  // not empty
	Rate  float64 // baseline rate in requests per second
	IsNew bool
}

// Relay is a fake of the relay. It executes the commands of calls for the joined proxies, and sends events to the
// connections that watch the proxies. The exported fields must be read with the mutex held, as in Await.
type Relay struct {
	observable
	*server

	Tables     map[int]map[string]float64 // weights by table and node, without entries for weight 0
	Bound      map[int]int                // table by proxy
	Admissions map[string]string          // "LEVEL RETRY" by "TABLE ROUTE"
	Calls      []string                   // received lines, in order
	Watches    int                        // number of proxy watches requested

	isListed func(node string) bool
	onCall   func(call, response string)
	joined   map[int]Proxy
	watchers map[net.Conn]struct{}
	faults   []Fault // of the next calls, in order
	silent   bool    // no events or heartbeats are sent
}

// NewRelay starts a relay that accepts only weights of nodes for which isListed returns true. If onCall is not nil, it
// is called with each call and its response.
func NewRelay(address string, isListed func(node string) bool, onCall func(call, response string)) (*Relay, error) {
	r := &Relay{
		observable: newObservable(),
		Tables:     map[int]map[string]float64{},
		Bound:      map[int]int{},
		Admissions: map[string]string{},
		isListed:   isListed,
		onCall:     onCall,
		joined:     map[int]Proxy{},
		watchers:   map[net.Conn]struct{}{},
	}
	var err error
	r.server, err = listen(address, r.serve)
	return r, err
}

// InjectFaults adds faults to the queue. Each of the next calls consumes one fault.
func (r *Relay) InjectFaults(faults ...Fault) {
	r.Lock()
	defer r.Unlock()
	r.faults = append(r.faults, faults...)
}

// Join joins proxies and notifies the watchers.
func (r *Relay) Join(proxies ...Proxy) {
	r.Lock()
	defer r.Unlock()
	for _, p := range proxies {
		r.joined[p.ID] = p
		r.notifyWatchers(formatJoinedLine(p))
	}
}

// Leave disconnects proxies, removes their bindings and notifies the watchers.
func (r *Relay) Leave(ids ...int) {
	r.Lock()
	defer r.Unlock()
	for _, id := range ids {
		delete(r.joined, id)
		delete(r.Bound, id)
		r.notifyWatchers(fmt.Sprintf("* CLOSED %d\r\n", id))
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.Silence(false) // wakes connections that wait for their watch to start
	r.server.Close()
}

// serve processes the calls of one connection, or serves a proxy watch on it.
func (r *Relay) serve(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		line := lines.Text()
		if line == "follow" {
			r.serveWatch(conn)
			return
		}
		response, closeConn := r.handleCall(conn, line)
		if _, err := fmt.Fprint(conn, response); err != nil || closeConn {
			return
		}
	}
}
