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

// List is discovery's form of the whole list or of changes.
type List struct {
	Index     uint64 `json:"index"`
	Snapshot  bool   `json:"snapshot"`
	Endpoints []Node `json:"endpoints"`
}

// Manner is how discovery answers.
type Manner int

// The manners of discovery.
const (
	Plain    Manner = iota
	Chunked         // in chunks
	Pieces          // byte by byte
	Slow            // byte by byte, one now and then
	Closing         // and the connection ends each time
	Failing         // with an error status
	Cut             // the connection breaks within the response
	Silent          // not at all
	Endless         // a byte now and then, and never the last
	Flood           // as many bytes as are taken, and never the last
	Changes         // with changes only, also who asks for the whole list
	Backward        // each watch with a version before the one that is held
	Eager           // each watch at once, with nothing new
)

// Discovery answers with the list of nodes and watches on it.
type Discovery struct {
	board
	*server

	Asked int // requests so far, under the lock

	index  uint64
	nodes  map[string]Node
	at     map[string]uint64 // version of each node's last change
	manner Manner
	closed bool
}

// NewDiscovery starts one.
func NewDiscovery(address string, nodes ...Node) (*Discovery, error) {
	d := &Discovery{board: board{moved: make(chan struct{})}, index: 40, nodes: map[string]Node{},
		at: map[string]uint64{}}
	d.Set(nodes...)
	var err error
	d.server, err = listen(address, d.serve)
	return d, err
}

// Set changes nodes; a terminated one leaves the whole list.
func (d *Discovery) Set(nodes ...Node) {
	d.Lock()
	defer d.Unlock()
	d.index++
	for _, n := range nodes {
		d.nodes[n.Name], d.at[n.Name] = n, d.index
	}
	d.changed()
}

// Answer changes its manner.
func (d *Discovery) Answer(m Manner) {
	d.Lock()
	defer d.Unlock()
	d.manner = m
	d.changed()
}

// Renumber starts the versions anew, as a service does that has lost them.
func (d *Discovery) Renumber() {
	d.Lock()
	defer d.Unlock()
	d.index = 1
	for name := range d.at {
		d.at[name] = 1
	}
	d.changed()
}

// Close ends it.
func (d *Discovery) Close() {
	d.Lock()
	d.closed = true // who waits sees it
	d.changed()
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

// Whole is the whole list.
func (d *Discovery) Whole() List {
	d.Lock()
	defer d.Unlock()
	return d.list(0, true)
}

// list is what is newer than a version; the lock is held.
func (d *Discovery) list(from uint64, whole bool) List {
	l := List{Index: d.index, Snapshot: whole, Endpoints: []Node{}}
	for _, name := range slices.Sorted(maps.Keys(d.nodes)) {
		if n := d.nodes[name]; whole && n.Status != "terminated" || !whole && d.at[name] > from {
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
		d.Asked++
		d.changed()
		for waits := watch && hold > 0 && d.manner != Backward && d.manner != Eager; (waits && d.index == from || d.manner == Silent) && !d.closed; {
			moved := d.moved
			d.Unlock()
			select {
			case <-moved:
			case <-until.C:
				waits = false
			}
			d.Lock()
		}
		if from > d.index {
			from = 0 // versions that count anew
		}
		list, manner := d.list(from, !watch && d.manner != Changes), d.manner
		if watch && manner == Backward {
			list.Index--
		}
		d.Unlock()
		until.Stop()
		if !answer(conn, list, manner) {
			return
		}
	}
}

// answer writes a response and tells whether another may follow.
func answer(conn net.Conn, list List, manner Manner) bool {
	body, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	status, head := "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch manner {
	case Chunked:
		half := len(body) / 2
		head = "Transfer-Encoding: chunked\r\n"
		body = fmt.Appendf(nil, "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	case Closing:
		head += "Connection: close\r\n"
	case Endless, Flood:
		head = "" // it lasts until the connection ends
	case Failing:
		status = "503 Service Unavailable"
	}
	out := "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + head + "\r\n" + string(body)
	switch manner {
	case Cut:
		fmt.Fprint(conn, out[:len(out)/2])
		return false
	case Endless:
		drip(conn, out[:len(out)/2])
		return false
	case Flood:
		for err := error(nil); err == nil; {
			_, err = fmt.Fprint(conn, out)
		}
		return false
	case Slow:
		for piece := range strings.SplitSeq(out, "") {
			fmt.Fprint(conn, piece)
			time.Sleep(dripEvery)
		}
		return true
	case Pieces:
		for piece := range strings.SplitSeq(out, "") {
			fmt.Fprint(conn, piece)
		}
		return true
	}
	_, err = fmt.Fprint(conn, out)
	return err == nil && manner != Closing
}
