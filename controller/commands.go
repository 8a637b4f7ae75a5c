package controller

import (
	"fmt"

	"go.uber.org/zap"

	"harehook.dev/harehook/planner"
)

// CommandKind is the type of a command.
type CommandKind uint8

// Command kinds.
const (
	BindProxy    CommandKind = iota // bind Proxy to Table for all routes
	SetWeight                       // set the weight of Node in Table to Value; 0 removes its entry
	SetAdmission                    // set the admission level of Route in Table to Value, and its retry policy to Retry
	RequestAck                      // the proxies that receive the batch must acknowledge Nonce
	CancelBind                      // Proxy left or rejoined: discard earlier commands that bind it
)

// String returns the kind's name.
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

// Command is a command of the planner, with names in place of the planner's numbers. Kind determines which of the other
// fields are used.
type Command struct {
	Kind                CommandKind
	Proxy, Table, Nonce int
	Node, Route         string
	Value               float64
	Retry               planner.RetryPolicy
}

// CommandsAccepted reports that the call with the given nonce was accepted.
func (c *Controller) CommandsAccepted(nonce int) {
	c.post(func(l *eventLoop) { l.planner.CommandsAccepted(l.now, nonce) })
}

// CommandsRetried reports that the call with the given nonce is sent again although it may already have been executed:
// completely if full is true, otherwise only its first part.
func (c *Controller) CommandsRetried(nonce int, full bool) {
	c.post(func(l *eventLoop) { l.planner.CommandsRetried(l.now, nonce, full) })
}

// plannerHost implements planner.Host. It collects the planner's commands of an iteration in the event loop's batch.
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

// Wake implements planner.Host. Of several requested times, the earliest is used.
func (h plannerHost) Wake(at float64) { h.stepAt = min(h.stepAt, at) }

// Subscribe implements planner.Host. It does nothing because the transport watches the endpoint list permanently.
func (h plannerHost) Subscribe() {}

// EndpointHealthChanged implements planner.Host.
func (h plannerHost) EndpointHealthChanged(node uint32, health planner.Health) {
	h.decisions.Info("endpoint health changed", zap.String("node", h.nodes.nodes[node].name), zap.Stringer("health", health))
}

// ThrottlingChanged implements planner.Host.
func (h plannerHost) ThrottlingChanged(active bool) {
	h.decisions.Info("throttling changed", zap.Bool("active", active))
}
