package fakeplatform

import (
	"bufio"
	"fmt"
	"net"
)

// Proxy is a proxy that may join.
type Proxy struct {
	ID    int
	Zone  string  // not empty
	Rate  float64 // baseline rate, requests a second
	IsNew bool
}

// Relay carries out the commands of calls for the proxies that are joined, and reports to the connections that watch them.
// The exported state is read under its mutex, as in Await.
type Relay struct {
	observable
	*server

	Tables     map[int]map[string]float64 // weights by table and node; no entry for 0
	Bound      map[int]int                // table by proxy
	Admissions map[string]string          // "LEVEL RETRIES" by "TABLE ROUTE"
	Calls      []string                   // lines, as they came
	Watches    int                        // times that someone asked to watch proxies

	isListed func(node string) bool
	onCall   func(call, response string)
	joined   map[int]Proxy
	watchers map[net.Conn]struct{}
	faults   []Fault // of the next calls
	silent   bool    // watchers are told nothing
}

// NewRelay starts a relay that accepts weights of nodes for which isListed holds. onCall, if not nil, is called with
// each call and its response.
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

// InjectFaults has the next calls go wrong, one each.
func (r *Relay) InjectFaults(faults ...Fault) {
	r.Lock()
	defer r.Unlock()
	r.faults = append(r.faults, faults...)
}

// Join has proxies join.
func (r *Relay) Join(proxies ...Proxy) {
	r.Lock()
	defer r.Unlock()
	for _, p := range proxies {
		r.joined[p.ID] = p
		r.notifyWatchers(joinedLine(p))
	}
}

// Leave breaks the streams of proxies; their bindings end.
func (r *Relay) Leave(ids ...int) {
	r.Lock()
	defer r.Unlock()
	for _, id := range ids {
		delete(r.joined, id)
		delete(r.Bound, id)
		r.notifyWatchers(fmt.Sprintf("* CLOSED %d\r\n", id))
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.Silence(false) // a connection that waits to watch sees the end
	r.server.Close()
}

// serve answers the calls of one connection, or has it watch proxies.
func (r *Relay) serve(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		line := lines.Text()
		if line == "follow" {
			r.serveWatch(conn)
			return
		}
		response, last := r.handleCall(conn, line)
		if _, err := fmt.Fprint(conn, response); err != nil || last {
			return
		}
	}
}
