package controller

import (
	"go.uber.org/zap"

	"harehook.dev/harehook/planner"
)

// CommandKind says what an order does.
type CommandKind uint8

// The kinds of order.
const (
	BindProxy    CommandKind = iota // put Proxy on Table for all routes
	SetWeight                       // Node gets Figure as its weight in Table, 0: none
	SetAdmission                    // Route of Table gets Figure as its level, and Tries
	RequestAck                      // whom the batch reaches acknowledges Nonce
	CancelBind                      // Proxy left or joined anew: older orders to bind it are void
)

// Command is one thing that the module ordered, in names.
type Command struct {
	Kind                CommandKind
	Proxy, Table, Nonce int
	Node, Route         string
	Value               float64
	Retry               planner.RetryPolicy
}

// plannerHost implements brain.Host. The module calls it during a turn only.
type plannerHost struct{ *Controller }

func (h plannerHost) BindProxy(proxy, table int) {
	h.batch = append(h.batch, Command{Kind: BindProxy, Proxy: proxy, Table: table})
}

func (h plannerHost) SetWeight(table int, node uint32, weight float64) {
	h.batch = append(h.batch, Command{Kind: SetWeight, Table: table, Node: h.nodeNames[node], Value: weight})
}

func (h plannerHost) SetAdmission(table int, route planner.RouteID, level float64, tries planner.RetryPolicy) {
	h.batch = append(h.batch, Command{Kind: SetAdmission, Table: table, Route: h.routeNames[route], Value: level, Retry: tries})
}

func (h plannerHost) RequestAck(nonce int) {
	h.batch = append(h.batch, Command{Kind: RequestAck, Nonce: nonce})
}

func (h plannerHost) Wake(at float64) { h.stepAt = min(h.stepAt, at) }

// Subscribe does nothing: the front watches the list all the time, and asking its service costs nothing here.
func (h plannerHost) Subscribe() {}

func (h plannerHost) Log(text string) { h.log.Info(text, zap.String("by", "module")) }
