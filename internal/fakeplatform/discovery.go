package fakeplatform

import (
	"bufio"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Node is an endpoint in discovery's form.
type Node struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // "in_service", "terminating" or "terminated"
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

// EndpointList is discovery's form of the full list, or of an update.
type EndpointList struct {
	Version   uint64 `json:"index"`
	Full      bool   `json:"snapshot"`
	Endpoints []Node `json:"endpoints"`
}

const (
	statusTerminated = "terminated"
	firstVersion     = 40
)

// Discovery answers polls for the list of nodes.
type Discovery struct {
	observable
	*server

	Polls int // so far, under the mutex

	version   uint64
	nodes     map[string]Node
	changedAt map[string]uint64 // version of each node's last change
	mode      ResponseMode
	closed    bool
}

// NewDiscovery starts a discovery with some nodes; an address with the port 0 gets a free one.
func NewDiscovery(address string, nodes ...Node) (*Discovery, error) {
	d := &Discovery{observable: newObservable(), version: firstVersion, nodes: map[string]Node{}, changedAt: map[string]uint64{}}
	d.Set(nodes...)
	var err error
	d.server, err = listen(address, d.serve)
	return d, err
}

// Set adds or changes nodes; a terminated one leaves the full list.
func (d *Discovery) Set(nodes ...Node) {
	d.Lock()
	defer d.Unlock()
	d.version++
	for _, n := range nodes {
		d.nodes[n.Name] = n
		d.changedAt[n.Name] = d.version
	}
	d.notifyChanged()
}

// SetMode changes how polls are answered.
func (d *Discovery) SetMode(mode ResponseMode) {
	d.Lock()
	defer d.Unlock()
	d.mode = mode
	d.notifyChanged()
}

// ResetVersions counts versions from 1 again, as a service does that has lost them.
func (d *Discovery) ResetVersions() {
	d.Lock()
	defer d.Unlock()
	d.version = 1
	for name := range d.changedAt {
		d.changedAt[name] = 1
	}
	d.notifyChanged()
}

// Close ends the discovery.
func (d *Discovery) Close() {
	d.Lock()
	d.closed = true // polls that wait see it
	d.notifyChanged()
	d.Unlock()
	d.server.Close()
}

// Listed reports whether a node was ever listed.
func (d *Discovery) Listed(name string) bool {
	d.Lock()
	defer d.Unlock()
	_, listed := d.nodes[name]
	return listed
}

// FullList is the full list as it is now.
func (d *Discovery) FullList() EndpointList {
	d.Lock()
	defer d.Unlock()
	return d.list(0, true)
}

// list is the full list, or what has changed since a version; the mutex is held.
func (d *Discovery) list(since uint64, full bool) EndpointList {
	list := EndpointList{Version: d.version, Full: full, Endpoints: []Node{}}
	for _, name := range slices.Sorted(maps.Keys(d.nodes)) {
		n := d.nodes[name]
		if full && n.Status != statusTerminated || !full && d.changedAt[name] > since {
			list.Endpoints = append(list.Endpoints, n)
		}
	}
	return list
}

func (d *Discovery) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		list, mode := d.poll(parsePoll(request))
		if !writeResponse(conn, list, mode) {
			return
		}
	}
}

// poll is a request for the list.
type poll struct {
	update bool   // for what has changed since a version, else for the full list
	since  uint64 // that version
	hold   time.Duration
}

func parsePoll(request *http.Request) poll {
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get("from"), 10, 64)
	holdMS, _ := strconv.Atoi(query.Get("hold_ms"))
	return poll{update: err == nil, since: since, hold: time.Duration(holdMS) * time.Millisecond}
}

// poll waits as long as the request and the mode say, and returns the list and how it is to be written.
func (d *Discovery) poll(p poll) (EndpointList, ResponseMode) {
	d.Lock()
	defer d.Unlock()
	d.Polls++
	d.notifyChanged()
	d.awaitChange(p)
	since := p.since
	if since > d.version {
		since = 0 // the versions have been reset
	}
	list := d.list(since, !p.update && d.mode != UpdatesOnly)
	if p.update && d.mode == DecreasingVersions {
		list.Version--
	}
	return list, d.mode
}

// awaitChange waits until the list is newer than the poll's version, for its hold at most, and as long as there is to be
// no response. The mutex is held, but not while it waits.
func (d *Discovery) awaitChange(p poll) {
	holdEnd := time.NewTimer(p.hold)
	defer holdEnd.Stop()
	holds := p.update && p.hold > 0 && d.mode != DecreasingVersions && d.mode != ImmediateResponse
	for (holds && d.version == p.since || d.mode == NoResponse) && !d.closed {
		changes := d.changes
		d.Unlock()
		select {
		case <-changes:
		case <-holdEnd.C:
			holds = false
		}
		d.Lock()
	}
}
