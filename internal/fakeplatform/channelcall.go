package fakeplatform

import (
	"slices"
	"strconv"
	"strings"
)

// channelCall is the execution of one call on a channel.
type channelCall struct {
	*Channel
	proxies []int           // affected, in the order in which the commands affect them
	entries map[int]float64 // in the message, by proxy
	nonce   int             // to acknowledge; 0 means none
}

// Call executes the commands of a call up to the first that fails, and returns the number of executed commands.
func (c *Channel) Call(text string) (executed int) {
	call := channelCall{Channel: c, entries: map[int]float64{}}
	commands := strings.TrimSuffix(strings.TrimPrefix(text, "txn "), "\r\n")
	for command := range strings.SplitSeq(commands, ";") {
		if !call.execute(strings.Split(command, ",")) {
			call.nonce = 0 // the acknowledgement request is the last command
			break
		}
		executed++
	}
	call.enqueue()
	return executed
}

func (c *channelCall) execute(fields []string) bool {
	number, _ := strconv.Atoi(fields[1])
	switch fields[0] {
	case "put":
		c.setWeight(fields[1], fields[2], fields[3])
	case "attach":
		if !c.joined[number] {
			return false
		}
		table, _ := strconv.Atoi(fields[2])
		c.bound[number] = table
		entries := len(c.tables[table]) + len(c.admissions["*"]) + len(c.admissions[fields[2]])
		c.addEntries(number, 1+float64(entries))
	case "gate":
		c.setAdmission(fields[1], fields[2])
	case "fence":
		c.nonce = number
	}
	return true
}

func (c *channelCall) setWeight(table, node, weight string) {
	number, _ := strconv.Atoi(table)
	if c.tables[number] == nil {
		c.tables[number] = map[string]bool{}
	}
	c.tables[number][node] = true
	if weight == "0" {
		delete(c.tables[number], node)
	}
	for _, proxy := range c.boundTo(table) {
		c.addEntries(proxy, 1)
	}
}

func (c *channelCall) setAdmission(table, route string) {
	if c.admissions[table] == nil {
		c.admissions[table] = map[string]bool{}
	}
	c.admissions[table][route] = true
	for _, proxy := range c.boundTo(table) {
		c.addEntries(proxy, 1)
	}
}

// addEntries adds entries to the message for a proxy.
func (c *channelCall) addEntries(proxy int, entries float64) {
	if _, affected := c.entries[proxy]; !affected {
		c.proxies = append(c.proxies, proxy)
		c.entries[proxy] = c.MessageOverhead
	}
	c.entries[proxy] += entries
}

// boundTo returns the joined proxies that are bound to a table, or all joined proxies if table is "*".
func (c *Channel) boundTo(table string) (proxies []int) {
	for proxy := range c.joined {
		bound, ok := c.bound[proxy]
		if table == "*" || ok && strconv.Itoa(bound) == table {
			proxies = append(proxies, proxy)
		}
	}
	slices.Sort(proxies)
	return proxies
}

// enqueue enqueues the messages of the call.
func (c *channelCall) enqueue() {
	for _, proxy := range c.proxies {
		m := message{proxy: proxy, nonce: c.nonce, entries: c.entries[proxy]}
		if m.nonce > 0 {
			m.entries++
		}
		c.messages = append(c.messages, m)
		c.waitingEntries += m.entries
		c.enqueueTimes[proxy] = append(c.enqueueTimes[proxy], c.now)
	}
}
