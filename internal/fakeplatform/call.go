package fakeplatform

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

const lateResponseDelay = 150 * time.Millisecond // other responses come within 50 ms

// handleCall answers a call that came by a connection; last says that the connection ends then.
func (r *Relay) handleCall(conn net.Conn, line string) (response string, last bool) {
	r.Lock()
	defer r.Unlock()
	defer r.notifyChanged()
	fault := r.nextFault()
	r.Calls = append(r.Calls, line)
	if r.onCall != nil {
		defer func() { r.onCall(line, strings.TrimSpace(response)) }()
	}
	commands, ok := strings.CutPrefix(line, "txn ")
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
	executed := r.execute(strings.Split(commands, ";"))
	return r.respond(conn, fault, fmt.Sprintf("OK %d\r\n", executed))
}

// nextFault is the fault of the call that came; the mutex is held.
func (r *Relay) nextFault() Fault {
	if len(r.faults) == 0 {
		return NoFault
	}
	fault := r.faults[0]
	r.faults = r.faults[1:]
	return fault
}

// respond spoils the response to a call that was carried out by a fault. The mutex is held, but not during its waits.
func (r *Relay) respond(conn net.Conn, fault Fault, response string) (spoilt string, last bool) {
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
		return response[:3], true
	case ExecutedEndlessResponse:
		r.Unlock()
		writeEndless(conn, response[:3])
		r.Lock()
		return "", true
	}
	return response, false
}

// execute carries out commands until one cannot be, and returns how many were; the mutex is held.
func (r *Relay) execute(commands []string) int {
	e := execution{Relay: r, reached: map[int]bool{}}
	for i, command := range commands {
		if !e.run(strings.Split(command, ",")) {
			return i
		}
	}
	return len(commands)
}

// execution is a call that is carried out.
type execution struct {
	*Relay
	reached map[int]bool // proxies that a command so far concerned
}

// run carries out a command, given by its fields; false if it cannot be.
func (e *execution) run(fields []string) bool {
	switch fields[0] {
	case "put":
		return len(fields) == 4 && e.setWeight(integer(fields[1]), fields[2], decimal(fields[3]))
	case "attach":
		return len(fields) == 4 && e.bind(integer(fields[1]), integer(fields[2]))
	case "gate":
		return len(fields) == 5 && decimal(fields[3]) >= 0 && e.setAdmission(fields[1], fields[2], fields[3]+" "+fields[4])
	case "fence":
		return len(fields) == 3 && e.requestAck(integer(fields[1]), fields[2] == "1")
	}
	return false
}

func (e *execution) setWeight(table int, node string, weight float64) bool {
	if weight < 0 || table < 0 || !e.isListed(node) {
		return false
	}
	if e.Tables[table] == nil {
		e.Tables[table] = map[string]float64{}
	}
	e.Tables[table][node] = weight
	if weight == 0 {
		delete(e.Tables[table], node)
	}
	for proxy, bound := range e.Bound {
		if bound == table {
			e.reached[proxy] = true
		}
	}
	return true
}

func (e *execution) bind(proxy, table int) bool {
	if _, joined := e.joined[proxy]; !joined || table < 0 {
		return false
	}
	e.Bound[proxy] = table
	e.reached[proxy] = true
	return true
}

// setAdmission sets the value of a route in a table, "*" for all.
func (e *execution) setAdmission(table, route, value string) bool {
	e.Admissions[table+" "+route] = value
	for id := range e.joined {
		bound, ok := e.Bound[id]
		if table == "*" || ok && bound == integer(table) {
			e.reached[id] = true
		}
	}
	return true
}

// requestAck has the proxies that were reached, or all, acknowledge a nonce at once.
func (e *execution) requestAck(nonce int, all bool) bool {
	if nonce < 0 {
		return false
	}
	for id := range e.joined {
		if all || e.reached[id] {
			e.notifyWatchers(fmt.Sprintf("* ACK %d %d 1.5\r\n", id, nonce))
		}
	}
	return true
}

// integer reads a whole number, -1 if it is none.
func integer(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}

// decimal reads a plain decimal, -1 if it is none: the relay reads no exponents.
func decimal(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.ContainsAny(text, "eE") {
		return -1
	}
	return v
}
