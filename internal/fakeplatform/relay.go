package fakeplatform

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	signEvery = time.Second            // between two signs of life to those who follow
	lateBy    = 150 * time.Millisecond // an answer that is late; others come within 50 ms
)

// Fault is what goes wrong with a call.
type Fault int

// The faults of calls.
const (
	Fine           Fault = iota
	SilentDone           // carried out, no answer
	SilentUndone         // neither
	BrokenDone           // carried out, then the connection breaks
	BrokenUndone         // the connection breaks after the last byte
	GarbledDone          // carried out, the answer can't be read
	LateDone             // carried out, the answer comes when no one waits any more
	HalfDone             // carried out, the connection breaks within the answer
	ThrottledFirst       // turned away: the run has not begun
	InvalidFirst         // not taken for a call
	InternalFirst        // an error of the relay's own
	EndlessDone          // carried out, the answer comes a byte now and then and never ends
)

// Proxy is a proxy that may join.
type Proxy struct {
	ID   int
	Zone string
	Rate float64
	New  bool
}

// Relay takes orders for the proxies that are joined and tells news of them. The exported state is read under
// its lock, as in Await.
type Relay struct {
	board
	*server

	Tables  map[int]map[string]float64 // by table and node
	Bound   map[int]int                // table by proxy
	Levels  map[string]string          // by table and route
	Calls   []string                   // as they came
	Follows int                        // times that someone asked for news

	listed    func(node string) bool
	onCall    func(call, answer string)
	joined    map[int]Proxy
	followers map[net.Conn]struct{}
	faults    []Fault
	silent    bool
}

// NewRelay starts a relay that knows the nodes that listed tells; onCall, if any, is told each call.
func NewRelay(address string, listed func(string) bool, onCall func(call, answer string)) (*Relay, error) {
	r := &Relay{board: board{moved: make(chan struct{})}, Tables: map[int]map[string]float64{},
		Bound: map[int]int{}, Levels: map[string]string{}, listed: listed, onCall: onCall,
		joined: map[int]Proxy{}, followers: map[net.Conn]struct{}{}}
	var err error
	r.server, err = listen(address, r.serve)
	return r, err
}

// Fail lets the next calls go wrong, one each.
func (r *Relay) Fail(faults ...Fault) {
	r.Lock()
	defer r.Unlock()
	r.faults = append(r.faults, faults...)
}

// Join lets proxies join.
func (r *Relay) Join(proxies ...Proxy) {
	r.Lock()
	defer r.Unlock()
	for _, p := range proxies {
		r.joined[p.ID] = p
		r.tell(subscribe(p))
	}
}

// Leave breaks the streams of proxies; their bindings end.
func (r *Relay) Leave(ids ...int) {
	r.Lock()
	defer r.Unlock()
	for _, id := range ids {
		delete(r.joined, id)
		delete(r.Bound, id)
		r.tell(fmt.Sprintf("* CLOSED %d\r\n", id))
	}
}

// CutNews breaks the connections of all who follow; between happens before anyone can follow again.
func (r *Relay) CutNews(between func()) {
	r.Lock()
	for conn := range r.followers {
		conn.Close()
		delete(r.followers, conn)
	}
	r.silent = true // nothing is told meanwhile
	r.Unlock()
	between()
	r.Silence(false)
}

// Silence stops, or starts again, all news and signs of life; connections stay open. Those that missed
// something while it lasted are not told it later.
func (r *Relay) Silence(yes bool) {
	r.Lock()
	defer r.Unlock()
	r.silent = yes
	r.changed()
}

// Close ends it.
func (r *Relay) Close() {
	r.Silence(false) // who waits for news sees the end
	r.server.Close()
}

func subscribe(p Proxy) string {
	fresh := 0
	if p.New {
		fresh = 1
	}
	return fmt.Sprintf("* SUBSCRIBE %d %s %g %d\r\n", p.ID, p.Zone, p.Rate, fresh)
}

// tell writes a line to all who follow; the lock is held.
func (r *Relay) tell(line string) {
	if r.silent {
		return
	}
	for conn := range r.followers {
		write(conn, line)
	}
}

// write writes within a sign's time, so that one who never reads holds up no one else for longer.
func write(conn net.Conn, line string) {
	conn.SetWriteDeadline(time.Now().Add(signEvery))
	fmt.Fprint(conn, line)
}

func (r *Relay) serve(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		line := lines.Text()
		if line == "follow" {
			r.follow(conn)
			return
		}
		answer, last := r.call(conn, line)
		if _, err := fmt.Fprint(conn, answer); err != nil || last {
			return
		}
	}
}

// follow tells what stands, then signs of life beside the news that others write.
func (r *Relay) follow(conn net.Conn) {
	r.Lock()
	r.Follows++
	r.changed()
	for r.silent {
		moved := r.moved
		r.Unlock()
		<-moved
		r.Lock()
	}
	write(conn, "OK\r\n")
	for _, id := range slices.Sorted(maps.Keys(r.joined)) {
		write(conn, subscribe(r.joined[id]))
	}
	write(conn, "*\r\n")
	r.followers[conn] = struct{}{}
	r.Unlock()
	gone := make(chan struct{})
	go func() {
		conn.Read(make([]byte, 1)) // nothing more is said
		close(gone)
	}()
	sign := time.NewTicker(signEvery)
	defer sign.Stop()
	for {
		select {
		case <-gone:
			r.Lock()
			delete(r.followers, conn)
			r.Unlock()
			return
		case <-sign.C:
			r.Lock()
			if _, here := r.followers[conn]; here && !r.silent {
				write(conn, "*\r\n")
			}
			r.Unlock()
		}
	}
}

// call answers a call that came by a connection; last says that the connection ends then.
func (r *Relay) call(conn net.Conn, line string) (answer string, last bool) {
	r.Lock()
	defer r.Unlock()
	defer r.changed()
	fault := Fine
	if len(r.faults) > 0 {
		fault, r.faults = r.faults[0], r.faults[1:]
	}
	r.Calls = append(r.Calls, line)
	if r.onCall != nil {
		defer func() { r.onCall(line, strings.TrimSpace(answer)) }()
	}
	orders, ok := strings.CutPrefix(line, "txn ")
	switch {
	case fault == SilentUndone:
		return "", false
	case fault == BrokenUndone:
		return "", true
	case fault == ThrottledFirst:
		return "ERR throttled\r\n", false
	case fault == InternalFirst:
		return "ERR internal\r\n", false
	case fault == InvalidFirst || !ok:
		return "ERR invalid\r\n", false
	}
	answer = fmt.Sprintf("OK %d\r\n", r.carryOut(strings.Split(orders, ";")))
	switch fault {
	case SilentDone:
		return "", false
	case BrokenDone:
		return "", true
	case GarbledDone:
		return "\x00\x01?\r\n", false
	case LateDone:
		r.Unlock()
		time.Sleep(lateBy)
		r.Lock()
	case HalfDone:
		return answer[:3], true
	case EndlessDone:
		r.Unlock()
		drip(conn, answer[:3])
		r.Lock()
		return "", true
	}
	return answer, false
}

// carryOut does orders until one can't be done and tells how many were.
func (r *Relay) carryOut(orders []string) int {
	reached := map[int]bool{}
	reach := func(table int) {
		for proxy, bound := range r.Bound {
			if bound == table {
				reached[proxy] = true
			}
		}
	}
	for k, order := range orders {
		part := strings.Split(order, ",")
		number := func(at int) int {
			if at >= len(part) {
				return -1
			}
			n, err := strconv.Atoi(part[at])
			if err != nil {
				return -1
			}
			return n
		}
		figure := -1.0
		if part[0] == "put" && len(part) == 4 || part[0] == "gate" && len(part) == 5 {
			if v, err := strconv.ParseFloat(part[3], 64); err == nil && !strings.ContainsAny(part[3], "eE") {
				figure = v
			}
		}
		switch {
		case part[0] == "put" && figure >= 0 && number(1) >= 0 && r.listed(part[2]):
			table := r.Tables[number(1)]
			if table == nil {
				table = map[string]float64{}
				r.Tables[number(1)] = table
			}
			if table[part[2]] = figure; figure == 0 {
				delete(table, part[2])
			}
			reach(number(1))
		case part[0] == "attach" && len(part) == 4 && r.joined[number(1)].Zone != "" && number(2) >= 0:
			r.Bound[number(1)] = number(2)
			reached[number(1)] = true
		case part[0] == "gate" && figure >= 0:
			r.Levels[part[1]+" "+part[2]] = part[3] + " " + part[4]
			for id := range r.joined {
				if table, ok := r.Bound[id]; part[1] == "*" || ok && table == number(1) {
					reached[id] = true
				}
			}
		case part[0] == "fence" && len(part) == 3 && number(1) >= 0:
			for id := range r.joined {
				if reached[id] || part[2] == "1" {
					r.tell(fmt.Sprintf("* ACK %d %d 1.5\r\n", id, number(1)))
				}
			}
		default:
			return k
		}
	}
	return len(orders)
}
