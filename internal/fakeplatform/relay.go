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
	aliveInterval     = time.Second            // between two signs of life to those who follow
	lateResponseDelay = 150 * time.Millisecond // an answer that is late; others come within 50 ms
)

// Fault is what goes wrong with a call.
type Fault int

// The faults of calls.
const (
	NoFault                 Fault = iota
	ExecutedWithoutResponse       // carried out, no answer
	IgnoredWithoutResponse        // neither
	ExecutedThenBroken            // carried out, then the connection breaks
	IgnoredThenBroken             // the connection breaks after the last byte
	ExecutedGarbledResponse       // carried out, the answer can't be read
	ExecutedLateResponse          // carried out, the answer comes when no one waits any more
	ExecutedHalfResponse          // carried out, the connection breaks within the answer
	RejectedNotStarted            // turned away: the run has not begun
	RejectedInvalid               // not taken for a call
	RejectedInternal              // an error of the relay's own
	ExecutedEndlessResponse       // carried out, the answer comes a byte now and then and never ends
)

// Proxy is a proxy that may join.
type Proxy struct {
	ID    int
	Zone  string
	Rate  float64
	IsNew bool
}

// Relay takes orders for the proxies that are joined and tells news of them. The exported state is read under
// its lock, as in Await.
type Relay struct {
	observable
	*server

	Tables     map[int]map[string]float64 // by table and node
	Bound      map[int]int                // table by proxy
	Admissions map[string]string          // by table and route
	Calls      []string                   // as they came
	Watches    int                        // times that someone asked for news

	isListed func(node string) bool
	onCall   func(call, answer string)
	joined   map[int]Proxy
	watchers map[net.Conn]struct{}
	faults   []Fault
	silent   bool
}

// NewRelay starts a relay that knows the nodes that listed tells; onCall, if any, is told each call.
func NewRelay(address string, listed func(string) bool, onCall func(call, answer string)) (*Relay, error) {
	r := &Relay{observable: observable{changes: make(chan struct{})}, Tables: map[int]map[string]float64{},
		Bound: map[int]int{}, Admissions: map[string]string{}, isListed: listed, onCall: onCall,
		joined: map[int]Proxy{}, watchers: map[net.Conn]struct{}{}}
	var err error
	r.server, err = listen(address, r.serve)
	return r, err
}

// InjectFaults lets the next calls go wrong, one each.
func (r *Relay) InjectFaults(faults ...Fault) {
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

// BreakWatches breaks the connections of all who follow; between happens before anyone can follow again.
func (r *Relay) BreakWatches(between func()) {
	r.Lock()
	for conn := range r.watchers {
		conn.Close()
		delete(r.watchers, conn)
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
	r.notifyChanged()
}

// Close ends it.
func (r *Relay) Close() {
	r.Silence(false) // who waits for news sees the end
	r.server.Close()
}

func joinedLine(p Proxy) string {
	fresh := 0
	if p.IsNew {
		fresh = 1
	}
	return fmt.Sprintf("* SUBSCRIBE %d %s %g %d\r\n", p.ID, p.Zone, p.Rate, fresh)
}

// notifyWatchers writes a line to all who follow; the lock is held.
func (r *Relay) notifyWatchers(line string) {
	if r.silent {
		return
	}
	for conn := range r.watchers {
		write(conn, line)
	}
}

// write writes within a sign's time, so that one who never reads holds up no one else for longer.
func write(conn net.Conn, line string) {
	conn.SetWriteDeadline(time.Now().Add(aliveInterval))
	fmt.Fprint(conn, line)
}

func (r *Relay) serve(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		line := lines.Text()
		if line == "follow" {
			r.serveWatch(conn)
			return
		}
		answer, last := r.handleCall(conn, line)
		if _, err := fmt.Fprint(conn, answer); err != nil || last {
			return
		}
	}
}

// serveWatch tells what stands, then signs of life beside the news that others write.
func (r *Relay) serveWatch(conn net.Conn) {
	r.Lock()
	r.Watches++
	r.notifyChanged()
	for r.silent {
		moved := r.changes
		r.Unlock()
		<-moved
		r.Lock()
	}
	write(conn, "OK\r\n")
	for _, id := range slices.Sorted(maps.Keys(r.joined)) {
		write(conn, joinedLine(r.joined[id]))
	}
	write(conn, "*\r\n")
	r.watchers[conn] = struct{}{}
	r.Unlock()
	gone := make(chan struct{})
	go func() {
		conn.Read(make([]byte, 1)) // nothing more is said
		close(gone)
	}()
	sign := time.NewTicker(aliveInterval)
	defer sign.Stop()
	for {
		select {
		case <-gone:
			r.Lock()
			delete(r.watchers, conn)
			r.Unlock()
			return
		case <-sign.C:
			r.Lock()
			if _, here := r.watchers[conn]; here && !r.silent {
				write(conn, "*\r\n")
			}
			r.Unlock()
		}
	}
}

// handleCall answers a call that came by a connection; last says that the connection ends then.
func (r *Relay) handleCall(conn net.Conn, line string) (answer string, last bool) {
	r.Lock()
	defer r.Unlock()
	defer r.notifyChanged()
	fault := NoFault
	if len(r.faults) > 0 {
		fault, r.faults = r.faults[0], r.faults[1:]
	}
	r.Calls = append(r.Calls, line)
	if r.onCall != nil {
		defer func() { r.onCall(line, strings.TrimSpace(answer)) }()
	}
	orders, ok := strings.CutPrefix(line, "txn ")
	switch {
	case fault == IgnoredWithoutResponse:
		return "", false
	case fault == IgnoredThenBroken:
		return "", true
	case fault == RejectedNotStarted:
		return "ERR throttled\r\n", false
	case fault == RejectedInternal:
		return "ERR internal\r\n", false
	case fault == RejectedInvalid || !ok:
		return "ERR invalid\r\n", false
	}
	answer = fmt.Sprintf("OK %d\r\n", r.execute(strings.Split(orders, ";")))
	switch fault {
	case ExecutedWithoutResponse:
		return "", false
	case ExecutedThenBroken:
		return "", true
	case ExecutedGarbledResponse:
		return "\x00\x01?\r\n", false
	case ExecutedLateResponse:
		r.Unlock()
		time.Sleep(lateResponseDelay)
		r.Lock()
	case ExecutedHalfResponse:
		return answer[:3], true
	case ExecutedEndlessResponse:
		r.Unlock()
		writeEndless(conn, answer[:3])
		r.Lock()
		return "", true
	}
	return answer, false
}

// execute does orders until one can't be done and tells how many were.
func (r *Relay) execute(orders []string) int {
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
		case part[0] == "put" && figure >= 0 && number(1) >= 0 && r.isListed(part[2]):
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
			r.Admissions[part[1]+" "+part[2]] = part[3] + " " + part[4]
			for id := range r.joined {
				if table, ok := r.Bound[id]; part[1] == "*" || ok && table == number(1) {
					reached[id] = true
				}
			}
		case part[0] == "fence" && len(part) == 3 && number(1) >= 0:
			for id := range r.joined {
				if reached[id] || part[2] == "1" {
					r.notifyWatchers(fmt.Sprintf("* ACK %d %d 1.5\r\n", id, number(1)))
				}
			}
		default:
			return k
		}
	}
	return len(orders)
}
