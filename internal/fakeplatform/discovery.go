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

// Node is an endpoint in discovery's JSON format.
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

// EndpointList is a full endpoint list or an update in discovery's JSON format.
type EndpointList struct {
	Version   uint64 `json:"index"`
	Full      bool   `json:"snapshot"`
	Endpoints []Node `json:"endpoints"`
}

const (
	statusTerminated = "terminated"
	firstVersion     = 40
)

// Discovery is a fake of the discovery service. It responds to polls for the endpoint list.
type Discovery struct {
	observable
	*server

	Polls int // received so far; guarded by the mutex

	version   uint64
	nodes     map[string]Node
	changedAt map[string]uint64 // version of the last change, by node
	mode      ResponseMode
	closed    bool
}

// NewDiscovery starts a discovery service that lists nodes. If the port in address is 0, a free port is used.
func NewDiscovery(address string, nodes ...Node) (*Discovery, error) {
	d := &Discovery{observable: newObservable(), version: firstVersion, nodes: map[string]Node{}, changedAt: map[string]uint64{}}
	d.Set(nodes...)
	var err error
	d.server, err = listen(address, d.serve)
	return d, err
}

// Set adds or replaces nodes. The full list does not contain terminated nodes.
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

// SetMode sets the response mode for polls.
func (d *Discovery) SetMode(mode ResponseMode) {
	d.Lock()
	defer d.Unlock()
	d.mode = mode
	d.notifyChanged()
}

// ResetVersions restarts the versions at 1, like a service that has lost its versions.
func (d *Discovery) ResetVersions() {
	d.Lock()
	defer d.Unlock()
	d.version = 1
	for name := range d.changedAt {
		d.changedAt[name] = 1
	}
	d.notifyChanged()
}

// Close stops the service and closes its connections.
func (d *Discovery) Close() {
	d.Lock()
	d.closed = true // ends waiting polls
	d.notifyChanged()
	d.Unlock()
	d.server.Close()
}

// Listed reports whether a node has ever been added.
func (d *Discovery) Listed(name string) bool {
	d.Lock()
	defer d.Unlock()
	_, listed := d.nodes[name]
	return listed
}

// FullList returns the current full list.
func (d *Discovery) FullList() EndpointList {
	d.Lock()
	defer d.Unlock()
	return d.list(0, true)
}

// list returns the full list, or an update with the changes after the version since. The caller holds the mutex.
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

// pollRequest is a request for the endpoint list.
type pollRequest struct {
	update bool          // requests the changes after a version, not the full list
	since  uint64        // the version; only for updates
	hold   time.Duration // maximum wait for a newer version
}

func parsePoll(request *http.Request) pollRequest {
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get("from"), 10, 64)
	holdMS, _ := strconv.Atoi(query.Get("hold_ms"))
	return pollRequest{update: err == nil, since: since, hold: time.Duration(holdMS) * time.Millisecond}
}

// poll waits as the request and the response mode require, and returns the list and the mode in which to write it.
func (d *Discovery) poll(p pollRequest) (EndpointList, ResponseMode) {
	d.Lock()
	defer d.Unlock()
	d.Polls++
	d.notifyChanged()
	d.awaitChange(p)
	since := p.since
	if since > d.version {
		since = 0 // versions were reset
	}
	list := d.list(since, !p.update && d.mode != UpdatesOnly)
	if p.update && d.mode == DecreasingVersions {
		list.Version--
	}
	return list, d.mode
}

// awaitChange waits until the list is newer than the version of the poll, but at most for the poll's hold time. In mode
// NoResponse it waits until the mode changes or the service is closed. The caller holds the mutex, which awaitChange
// releases while it waits.
func (d *Discovery) awaitChange(p pollRequest) {
	holdTimer := time.NewTimer(p.hold)
	defer holdTimer.Stop()
	longPolling := p.update && p.hold > 0 && d.mode != DecreasingVersions && d.mode != ImmediateResponse
	for (longPolling && d.version == p.since || d.mode == NoResponse) && !d.closed {
		changes := d.changes
		d.Unlock()
		select {
		case <-changes:
		case <-holdTimer.C:
			longPolling = false
		}
		d.Lock()
	}
}
