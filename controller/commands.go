package controller

import (
	"fmt"

	"go.uber.org/zap"

	"harehook.dev/harehook/planner"
)

// CommandKind says what a command does.
type CommandKind uint8

// The kinds of command.
const (
	BindProxy    CommandKind = iota // put Proxy on Table for all routes
	SetWeight                       // Node gets Value as its weight in Table, 0: its entry is removed
	SetAdmission                    // Route of Table gets Value as its admission level, and Retry
	RequestAck                      // proxies that the batch reaches acknowledge Nonce
	CancelBind                      // Proxy left or joined anew: earlier commands that bind it are void
)

// String is the kind's name.
func (k CommandKind) String() string {
	switch k {
	case BindProxy:
		return "bind proxy"
	case SetWeight:
		return "set weight"
	case SetAdmission:
		return "set admission"
	case RequestAck:
		return "request ack"
	case CancelBind:
		return "cancel bind"
	}
	return fmt.Sprintf("CommandKind(%d)", uint8(k))
}

// Command is one command of the planner, in names. Which fields count is said at its kind.
type Command struct {
	Kind                CommandKind
	Proxy, Table, Nonce int
	Node, Route         string
	Value               float64
	Retry               planner.RetryPolicy
}

// CommandsAccepted says that the call with a nonce was accepted.
func (c *Controller) CommandsAccepted(nonce int) {
	c.post(func(l *eventLoop) { l.planner.CommandsAccepted(l.now, nonce) })
}

// CommandsRetried says that the call with a nonce goes out again though it may have been carried out, in full or its
// first part.
func (c *Controller) CommandsRetried(nonce int, full bool) {
	c.post(func(l *eventLoop) { l.planner.CommandsRetried(l.now, nonce, full) })
}

// plannerHost implements planner.Host: what the planner commands during an iteration gathers in the event loop's batch.
type plannerHost struct{ *eventLoop }

// BindProxy implements planner.Host.
func (h plannerHost) BindProxy(proxy, table int) {
	h.batch = append(h.batch, Command{Kind: BindProxy, Proxy: proxy, Table: table})
}

// SetWeight implements planner.Host.
func (h plannerHost) SetWeight(table int, node uint32, weight float64) {
	name := h.nodes.nodes[node].name
	h.batch = append(h.batch, Command{Kind: SetWeight, Table: table, Node: name, Value: weight})
}

// SetAdmission implements planner.Host.
func (h plannerHost) SetAdmission(table int, route planner.RouteID, level float64, retry planner.RetryPolicy) {
	name := h.names.routeNames[route]
	h.batch = append(h.batch, Command{Kind: SetAdmission, Table: table, Route: name, Value: level, Retry: retry})
}

// RequestAck implements planner.Host.
func (h plannerHost) RequestAck(nonce int) {
	h.batch = append(h.batch, Command{Kind: RequestAck, Nonce: nonce})
}

// Wake implements planner.Host: the earliest of the times that were asked for counts.
func (h plannerHost) Wake(at float64) { h.stepAt = min(h.stepAt, at) }

// Subscribe implements planner.Host. It does nothing: the transport watches the endpoint list all the time.
func (h plannerHost) Subscribe() {}

// EndpointHealthChanged implements planner.Host.
func (h plannerHost) EndpointHealthChanged(node uint32, health planner.Health) {
	h.decisions.Info("endpoint health changed", zap.String("node", h.nodes.nodes[node].name), zap.Stringer("health", health))
}

// ThrottlingChanged implements planner.Host.
func (h plannerHost) ThrottlingChanged(active bool) {
	h.decisions.Info("throttling changed", zap.Bool("active", active))
}
