package fakeplatform

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

const lateResponseDelay = 150 * time.Millisecond // other responses arrive within 50 ms

// handleCall processes a call that was received on conn. If closeConn is true, the caller must close the connection
// after it has written the response.
func (r *Relay) handleCall(conn net.Conn, line string) (response string, closeConn bool) {
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

// nextFault returns the fault to apply to the current call. The caller holds the mutex.
func (r *Relay) nextFault() Fault {
	if len(r.faults) == 0 {
		return NoFault
	}
	fault := r.faults[0]
	r.faults = r.faults[1:]
	return fault
}

// respond applies a fault to the response of an executed call. The caller holds the mutex, which respond releases while
// it waits.
func (r *Relay) respond(conn net.Conn, fault Fault, response string) (modified string, closeConn bool) {
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

// execute executes commands up to the first that fails, and returns the number of executed commands. The caller holds
// the mutex.
func (r *Relay) execute(commands []string) int {
	e := execution{Relay: r, affected: map[int]bool{}}
	for i, command := range commands {
		if !e.executeCommand(strings.Split(command, ",")) {
			return i
		}
	}
	return len(commands)
}

// execution is the execution of one call.
type execution struct {
	*Relay
	affected map[int]bool // proxies, by ID, that are affected by the commands executed so far
}

// executeCommand executes a command, given as its fields, and reports whether it succeeded.
func (e *execution) executeCommand(fields []string) bool {
	switch fields[0] {
	case "put":
		return len(fields) == 4 && e.setWeight(parseInteger(fields[1]), fields[2], parseDecimal(fields[3]))
	case "attach":
		return len(fields) == 4 && e.bind(parseInteger(fields[1]), parseInteger(fields[2]))
	case "gate":
		return len(fields) == 5 && parseDecimal(fields[3]) >= 0 && e.setAdmission(fields[1], fields[2], fields[3]+" "+fields[4])
	case "fence":
		return len(fields) == 3 && e.requestAck(parseInteger(fields[1]), fields[2] == "1")
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
			e.affected[proxy] = true
		}
	}
	return true
}

func (e *execution) bind(proxy, table int) bool {
	if _, joined := e.joined[proxy]; !joined || table < 0 {
		return false
	}
	e.Bound[proxy] = table
	e.affected[proxy] = true
	return true
}

// setAdmission sets the admission of a route in a table, or in all tables if table is "*".
func (e *execution) setAdmission(table, route, value string) bool {
	e.Admissions[table+" "+route] = value
	for id := range e.joined {
		bound, ok := e.Bound[id]
		if table == "*" || ok && bound == parseInteger(table) {
			e.affected[id] = true
		}
	}
	return true
}

// requestAck immediately acknowledges a nonce for the affected proxies, or for all joined proxies if all is true.
func (e *execution) requestAck(nonce int, all bool) bool {
	if nonce < 0 {
		return false
	}
	for id := range e.joined {
		if all || e.affected[id] {
			e.notifyWatchers(fmt.Sprintf("* ACK %d %d 1.5\r\n", id, nonce))
		}
	}
	return true
}

// parseInteger parses an integer. It returns -1 if text is not an integer.
func parseInteger(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}

// parseDecimal parses a decimal number. It returns -1 if text is not a number or has an exponent, which the relay does
// not accept.
func parseDecimal(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.ContainsAny(text, "eE") {
		return -1
	}
	return v
}
