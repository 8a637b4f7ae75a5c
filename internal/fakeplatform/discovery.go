package fakeplatform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Node is an entry of discovery's list.
type Node struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

// EndpointList is discovery's form of the whole list or of changes.
type EndpointList struct {
	Version   uint64 `json:"index"`
	Full      bool   `json:"snapshot"`
	Endpoints []Node `json:"endpoints"`
}

// ResponseMode is how discovery answers.
type ResponseMode int

// The manners of discovery.
const (
	PlainResponse      ResponseMode = iota
	ChunkedResponse                 // in chunks
	ByteByByteResponse              // byte by byte
	SlowResponse                    // byte by byte, one now and then
	ClosingResponse                 // and the connection ends each time
	ErrorResponse                   // with an error status
	TruncatedResponse               // the connection breaks within the response
	NoResponse                      // not at all
	EndlessResponse                 // a byte now and then, and never the last
	FloodResponse                   // as many bytes as are taken, and never the last
	UpdatesOnly                     // with changes only, also who asks for the whole list
	DecreasingVersions              // each watch with a version before the one that is held
	ImmediateResponse               // each watch at once, with nothing new
)

// Discovery answers with the list of nodes and watches on it.
type Discovery struct {
	observable
	*server

	Polls int // requests so far, under the lock

	version   uint64
	nodes     map[string]Node
	changedAt map[string]uint64 // version of each node's last change
	mode      ResponseMode
	closed    bool
}

// NewDiscovery starts one.
func NewDiscovery(address string, nodes ...Node) (*Discovery, error) {
	d := &Discovery{observable: observable{changes: make(chan struct{})}, version: 40, nodes: map[string]Node{},
		changedAt: map[string]uint64{}}
	d.Set(nodes...)
	var err error
	d.server, err = listen(address, d.serve)
	return d, err
}

// Set changes nodes; a terminated one leaves the whole list.
func (d *Discovery) Set(nodes ...Node) {
	d.Lock()
	defer d.Unlock()
	d.version++
	for _, n := range nodes {
		d.nodes[n.Name], d.changedAt[n.Name] = n, d.version
	}
	d.notifyChanged()
}

// SetMode changes its manner.
func (d *Discovery) SetMode(m ResponseMode) {
	d.Lock()
	defer d.Unlock()
	d.mode = m
	d.notifyChanged()
}

// ResetVersions starts the versions anew, as a service does that has lost them.
func (d *Discovery) ResetVersions() {
	d.Lock()
	defer d.Unlock()
	d.version = 1
	for name := range d.changedAt {
		d.changedAt[name] = 1
	}
	d.notifyChanged()
}

// Close ends it.
func (d *Discovery) Close() {
	d.Lock()
	d.closed = true // who waits sees it
	d.notifyChanged()
	d.Unlock()
	d.server.Close()
}

// Listed tells whether a node was ever listed.
func (d *Discovery) Listed(name string) bool {
	d.Lock()
	defer d.Unlock()
	_, known := d.nodes[name]
	return known
}

// FullList is the whole list.
func (d *Discovery) FullList() EndpointList {
	d.Lock()
	defer d.Unlock()
	return d.list(0, true)
}

// list is what is newer than a version; the lock is held.
func (d *Discovery) list(from uint64, whole bool) EndpointList {
	l := EndpointList{Version: d.version, Full: whole, Endpoints: []Node{}}
	for _, name := range slices.Sorted(maps.Keys(d.nodes)) {
		if n := d.nodes[name]; whole && n.Status != "terminated" || !whole && d.changedAt[name] > from {
			l.Endpoints = append(l.Endpoints, n)
		}
	}
	return l
}

func (d *Discovery) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		query := request.URL.Query()
		from, err := strconv.ParseUint(query.Get("from"), 10, 64)
		watch := err == nil
		hold, _ := strconv.Atoi(query.Get("hold_ms"))
		until := time.NewTimer(time.Duration(hold) * time.Millisecond)
		d.Lock()
		d.Polls++
		d.notifyChanged()
		for waits := watch && hold > 0 && d.mode != DecreasingVersions && d.mode != ImmediateResponse; (waits && d.version == from || d.mode == NoResponse) && !d.closed; {
			moved := d.changes
			d.Unlock()
			select {
			case <-moved:
			case <-until.C:
				waits = false
			}
			d.Lock()
		}
		if from > d.version {
			from = 0 // versions that count anew
		}
		list, manner := d.list(from, !watch && d.mode != UpdatesOnly), d.mode
		if watch && manner == DecreasingVersions {
			list.Version--
		}
		d.Unlock()
		until.Stop()
		if !writeResponse(conn, list, manner) {
			return
		}
	}
}

// writeResponse writes a response and tells whether another may follow.
func writeResponse(conn net.Conn, list EndpointList, manner ResponseMode) bool {
	body, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	status, head := "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch manner {
	case ChunkedResponse:
		half := len(body) / 2
		head = "Transfer-Encoding: chunked\r\n"
		body = fmt.Appendf(nil, "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	case ClosingResponse:
		head += "Connection: close\r\n"
	case EndlessResponse, FloodResponse:
		head = "" // it lasts until the connection ends
	case ErrorResponse:
		status = "503 Service Unavailable"
	}
	out := "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + head + "\r\n" + string(body)
	switch manner {
	case TruncatedResponse:
		fmt.Fprint(conn, out[:len(out)/2])
		return false
	case EndlessResponse:
		writeEndless(conn, out[:len(out)/2])
		return false
	case FloodResponse:
		for err := error(nil); err == nil; {
			_, err = fmt.Fprint(conn, out)
		}
		return false
	case SlowResponse:
		for piece := range strings.SplitSeq(out, "") {
			fmt.Fprint(conn, piece)
			time.Sleep(slowByteInterval)
		}
		return true
	case ByteByByteResponse:
		for piece := range strings.SplitSeq(out, "") {
			fmt.Fprint(conn, piece)
		}
		return true
	}
	_, err = fmt.Fprint(conn, out)
	return err == nil && manner != ClosingResponse
}
