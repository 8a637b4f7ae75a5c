package platform

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

// table is a table of the controller, as the relay has it.
type table struct {
	lines  map[string]float64 // weight by node
	levels map[string]float64 // admitted fraction by class
}

// view is what a proxy holds: for each class its lines and its admitted fraction.
type view struct {
	lines     map[string]map[string]float64 // by class, weight by node
	levels    map[string]float64            // by class
	withdrawn map[string]bool
}

// message is what one call sends to one proxy.
type message struct {
	proxy  int
	lines  float64 // its cost in the channel
	view   view
	nonce  int
	sentAt float64 // of the call
}

// serveRelay serves one connection of the controller: calls, or a proxy watch.
func (p *Platform) serveRelay(conn net.Conn) {
	defer conn.Close()
	scanner := bufio.NewScanner(conn)
	for scanner.Scan() {
		if scanner.Text() == "follow" {
			p.serveWatch(conn)
			return
		}
		commands, ok := strings.CutPrefix(scanner.Text(), "txn ")
		if !ok {
			fmt.Fprint(conn, "ERR invalid\r\n")
			continue
		}
		fmt.Fprintf(conn, "OK %d\r\n", p.call(commands))
	}
}

// serveWatch names the joined proxies, and gives a sign of life each second.
func (p *Platform) serveWatch(conn net.Conn) {
	p.mutex.Lock()
	fmt.Fprint(conn, "OK\r\n")
	for number, proxy := range p.proxies {
		fmt.Fprintf(conn, "* SUBSCRIBE %d %s %.1f 1\r\n", number, proxy.zone, p.plan.ProxyRate)
	}
	fmt.Fprint(conn, "*\r\n")
	p.watchers = append(p.watchers, conn)
	p.mutex.Unlock()
	for {
		time.Sleep(time.Second)
		p.mutex.Lock()
		_, err := fmt.Fprint(conn, "*\r\n")
		p.mutex.Unlock()
		if err != nil {
			return
		}
	}
}

// call carries out the orders of a call up to the first that cannot be used, and sends one message to each proxy that is
// concerned. It returns the number of orders taken.
func (p *Platform) call(commands string) (taken int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.run.Seconds()
	p.run.Note("call: %s", commands)
	lines := map[int]float64{}
	nonce := 0
	for _, order := range strings.Split(commands, ";") {
		fields := strings.Split(order, ",")
		if fields[0] == "fence" && len(fields) == 3 {
			nonce, _ = strconv.Atoi(fields[1])
		} else if !p.order(fields, lines) {
			break
		}
		taken++
	}
	for _, number := range slices.Sorted(maps.Keys(lines)) {
		cost := lines[number] + p.plan.Head
		if nonce > 0 {
			cost++
		}
		p.backlog += cost
		p.channel <- message{proxy: number, lines: cost, view: p.viewOf(number), nonce: nonce, sentAt: now}
	}
	return taken
}

// order carries out one order, and adds its lines at the proxies that it concerns.
func (p *Platform) order(fields []string, lines map[int]float64) bool {
	switch {
	case fields[0] == "put" && len(fields) == 4:
		weight, err := strconv.ParseFloat(fields[3], 64)
		if err != nil || weight < 0 || p.nodes[fields[2]] == nil {
			return false
		}
		t := p.table(fields[1])
		t.lines[fields[2]] = weight
		if weight == 0 {
			delete(t.lines, fields[2])
		}
		p.addLines(lines, fields[1])
	case fields[0] == "wipe" && len(fields) == 2:
		*p.table(fields[1]) = table{lines: map[string]float64{}, levels: map[string]float64{}}
		p.addLines(lines, fields[1])
	case fields[0] == "attach" && len(fields) == 4:
		return p.attach(fields, lines)
	case fields[0] == "gate" && len(fields) == 5:
		level, err := strconv.ParseFloat(fields[3], 64)
		if err != nil || level < 0 {
			return false
		}
		for _, class := range p.classes(fields[2]) {
			p.table(fields[1]).levels[class] = level
		}
		p.addLines(lines, fields[1])
	case (fields[0] == "eject" || fields[0] == "uneject") && len(fields) == 2:
		p.withdrawn[fields[1]] = fields[0] == "eject"
		p.addLines(lines, "*")
	default:
		return false
	}
	return true
}

// attach binds a proxy to a table for some classes.
func (p *Platform) attach(fields []string, lines map[int]float64) bool {
	number, err := strconv.Atoi(fields[1])
	if err != nil || number < 0 || number >= len(p.proxies) {
		return false
	}
	for _, class := range p.classes(fields[3]) {
		p.proxies[number].bound[class] = fields[2]
	}
	t := p.table(fields[2])
	lines[number] += 1 + float64(len(t.lines)+len(t.levels))
	return true
}

// classes returns the classes that a field of an order names.
func (p *Platform) classes(field string) []string {
	if field != "*" {
		return strings.Split(field, "+")
	}
	var all []string
	for _, class := range p.plan.Classes {
		all = append(all, class.Name)
	}
	return all
}

func (p *Platform) table(name string) *table {
	if p.tables[name] == nil {
		p.tables[name] = &table{lines: map[string]float64{}, levels: map[string]float64{}}
	}
	return p.tables[name]
}

// addLines adds one line at each proxy that uses a table.
func (p *Platform) addLines(lines map[int]float64, name string) {
	for number, proxy := range p.proxies {
		for _, bound := range proxy.bound {
			if bound == name || name == "*" {
				lines[number]++
				break
			}
		}
	}
}

// viewOf returns what a proxy holds once all orders so far have reached it.
func (p *Platform) viewOf(number int) view {
	v := view{lines: map[string]map[string]float64{}, levels: map[string]float64{}, withdrawn: maps.Clone(p.withdrawn)}
	for class, name := range p.proxies[number].bound {
		v.lines[class] = maps.Clone(p.table(name).lines)
		v.levels[class] = 1
		for _, t := range []*table{p.table(name), p.table("*")} {
			if level, set := t.levels[class]; set {
				v.levels[class] = min(v.levels[class], level)
			}
		}
	}
	return v
}

// runChannel sends the messages one after the other, at the channel's pace.
func (p *Platform) runChannel() {
	for m := range p.channel {
		time.Sleep(time.Duration(m.lines / p.plan.LinesPerSecond * float64(time.Second)))
		p.mutex.Lock()
		p.backlog -= m.lines
		p.mutex.Unlock()
		time.AfterFunc(p.plan.Propagation, func() { p.apply(m) })
	}
}

// apply has a proxy apply a message and answer its mark.
func (p *Platform) apply(m message) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	proxy := p.proxies[m.proxy]
	if m.sentAt < proxy.lastSentAt {
		return // timers of two messages may run in the other order
	}
	proxy.holds = m.view
	proxy.lastSentAt = m.sentAt
	if m.nonce == 0 {
		return
	}
	for _, conn := range p.watchers {
		fmt.Fprintf(conn, "* ACK %d %d %.1f\r\n", m.proxy, m.nonce, (p.run.Seconds()-m.sentAt)*1000)
	}
}
