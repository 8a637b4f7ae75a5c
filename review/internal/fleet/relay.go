package fleet

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

// table is a table of a controller, as the relay has it.
type table struct {
	lines  map[string]float64 // weight by node
	levels map[string]float64 // admitted fraction by class
}

// view is what a proxy holds: for each class its lines and its admitted fraction.
type view struct {
	lines   map[string]map[string]float64 // by class, weight by node
	levels  map[string]float64            // by class
	sentAt  float64                       // s, of the call whose message it was; 0: none of its present controller
	ejected map[string]bool
}

// message is what one call sends to one proxy.
type message struct {
	proxy  int
	lines  float64 // its cost in the channel
	bound  bool    // whether its controller has bound the proxy to a table
	view   view
	nonce  int
	sentAt float64 // of the call
}

// serveRelay serves one connection of the controller: calls, or a proxy watch.
func (c *controller) serveRelay(conn net.Conn) {
	defer conn.Close()
	scanner := bufio.NewScanner(conn)
	for scanner.Scan() {
		if scanner.Text() == "follow" {
			c.serveWatch(conn)
			return
		}
		commands, ok := strings.CutPrefix(scanner.Text(), "txn ")
		if !ok {
			fmt.Fprint(conn, "ERR invalid\r\n")
			continue
		}
		fmt.Fprintf(conn, "OK %d\r\n", c.call(commands))
	}
}

// serveWatch names the joined proxies, and gives a sign of life each second.
func (c *controller) serveWatch(conn net.Conn) {
	c.fleet.mutex.Lock()
	fmt.Fprint(conn, "OK\r\n")
	for number := range c.joined {
		fmt.Fprintf(conn, "* SUBSCRIBE %d %s %.1f 1\r\n", number, c.fleet.proxies[number].zone, c.fleet.proxies[number].rate)
	}
	fmt.Fprint(conn, "*\r\n")
	c.watchers = append(c.watchers, conn)
	c.fleet.mutex.Unlock()
	for {
		time.Sleep(time.Second)
		c.fleet.mutex.Lock()
		_, err := fmt.Fprint(conn, "*\r\n")
		c.fleet.mutex.Unlock()
		if err != nil {
			return
		}
	}
}

// tell writes a line to the proxy watches. One that has ended notices that itself. The caller holds the mutex.
func (c *controller) tell(format string, values ...any) {
	for _, conn := range c.watchers {
		fmt.Fprintf(conn, format, values...)
	}
}

// call carries out the orders of a call up to the first that cannot be used, and sends one message to each proxy that is
// concerned. It returns the number of orders taken.
func (c *controller) call(commands string) (taken int) {
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	now := c.fleet.run.Seconds()
	c.fleet.run.Note("call of %s: %s", c.name, commands)
	lines := map[int]float64{}
	nonce := 0
	for _, order := range strings.Split(commands, ";") {
		fields := strings.Split(order, ",")
		if fields[0] == "fence" && len(fields) == 3 {
			nonce, _ = strconv.Atoi(fields[1])
		} else if !c.order(fields, lines) {
			break
		}
		taken++
	}
	for _, number := range slices.Sorted(maps.Keys(lines)) {
		cost := lines[number] + c.fleet.plan.Head
		if nonce > 0 {
			cost++
		}
		c.channel <- message{proxy: number, lines: cost, bound: len(c.bound[number]) > 0, view: c.viewOf(number), nonce: nonce, sentAt: now}
	}
	return taken
}

// order carries out one order, and adds its lines at the proxies that it concerns.
func (c *controller) order(fields []string, lines map[int]float64) bool {
	switch {
	case fields[0] == "put" && len(fields) == 4:
		weight, err := strconv.ParseFloat(fields[3], 64)
		if err != nil || weight < 0 || c.fleet.nodes[fields[2]] == nil {
			return false
		}
		t := c.table(fields[1])
		t.lines[fields[2]] = weight
		if weight == 0 {
			delete(t.lines, fields[2])
		}
		c.addLines(lines, fields[1])
	case fields[0] == "wipe" && len(fields) == 2:
		*c.table(fields[1]) = table{lines: map[string]float64{}, levels: map[string]float64{}}
		c.addLines(lines, fields[1])
	case fields[0] == "attach" && len(fields) == 4:
		return c.attach(fields, lines)
	case fields[0] == "gate" && len(fields) == 5:
		level, err := strconv.ParseFloat(fields[3], 64)
		if err != nil || level < 0 {
			return false
		}
		for _, class := range c.classes(fields[2]) {
			c.table(fields[1]).levels[class] = level
		}
		c.addLines(lines, fields[1])
	case (fields[0] == "eject" || fields[0] == "uneject") && len(fields) == 2:
		c.eject(fields[1], fields[0] == "eject", lines)
	default:
		return false
	}
	return true
}

// attach binds a proxy to a table for some classes.
func (c *controller) attach(fields []string, lines map[int]float64) bool {
	number, err := strconv.Atoi(fields[1])
	if err != nil || !c.joined[number] {
		return false
	}
	if c.bound[number] == nil {
		c.bound[number] = map[string]string{}
	}
	for _, class := range c.classes(fields[3]) {
		c.bound[number][class] = fields[2]
	}
	t := c.table(fields[2])
	lines[number] += 1 + float64(len(t.lines)+len(t.levels)+len(c.table("*").levels))
	return true
}

// eject shuts a node out or lets it back in: one line at each proxy that holds a line of it.
func (c *controller) eject(name string, out bool, lines map[int]float64) {
	c.ejected[name] = out
	for number := range c.joined {
		for _, held := range c.fleet.proxies[number].holds.lines {
			if _, holds := held[name]; holds {
				lines[number]++
				break
			}
		}
	}
}

// classes returns the classes that a field of an order names.
func (c *controller) classes(field string) []string {
	if field != "*" {
		return strings.Split(field, "+")
	}
	var all []string
	for _, class := range c.fleet.plan.Classes {
		all = append(all, class.Name)
	}
	return all
}

func (c *controller) table(name string) *table {
	if c.tables[name] == nil {
		c.tables[name] = &table{lines: map[string]float64{}, levels: map[string]float64{}}
	}
	return c.tables[name]
}

// addLines adds one line at each joined proxy that uses a table.
func (c *controller) addLines(lines map[int]float64, name string) {
	for number := range c.joined {
		for _, bound := range c.bound[number] {
			if bound == name || name == "*" {
				lines[number]++
				break
			}
		}
	}
}

// viewOf returns what a proxy holds once all orders so far have reached it.
func (c *controller) viewOf(number int) view {
	before := c.fleet.proxies[number].holds
	v := view{lines: maps.Clone(before.lines), levels: maps.Clone(before.levels), ejected: maps.Clone(c.ejected)}
	for class, name := range c.bound[number] {
		v.lines[class] = maps.Clone(c.table(name).lines)
		v.levels[class] = 1
		for _, t := range []*table{c.table(name), c.table("*")} {
			if level, set := t.levels[class]; set {
				v.levels[class] = min(v.levels[class], level)
			}
		}
	}
	return v
}

// runChannel sends the messages one after the other, at the channel's pace. Messages to proxies that have left cost
// nothing.
func (c *controller) runChannel() {
	busyUntil := time.Now()
	for m := range c.channel {
		if !c.serves(m.proxy) {
			continue
		}
		if now := time.Now(); busyUntil.Before(now) {
			busyUntil = now
		}
		busyUntil = busyUntil.Add(time.Duration(m.lines / c.fleet.plan.LinesPerSecond * float64(time.Second)))
		time.Sleep(time.Until(busyUntil))
		time.AfterFunc(c.fleet.plan.Propagation, func() { c.apply(m) })
	}
}

func (c *controller) serves(proxy int) bool {
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	return c.joined[proxy]
}

// apply has a proxy apply a message and answer its mark.
func (c *controller) apply(m message) {
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	applying := c.fleet.proxies[m.proxy]
	if applying.controller != c || m.sentAt < applying.joinedAt || m.sentAt < applying.holds.sentAt {
		return // it has left, or timers of two messages ran in the other order
	}
	applying.holds = m.view
	applying.holds.sentAt = m.sentAt
	if m.bound && applying.boundAt == 0 {
		applying.boundAt = c.fleet.run.Seconds()
	}
	if m.nonce > 0 {
		c.tell("* ACK %d %d %.1f\r\n", m.proxy, m.nonce, (c.fleet.run.Seconds()-m.sentAt)*1000)
	}
}
