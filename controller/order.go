package controller

import (
	"go.uber.org/zap"

	"harehook.dev/harehook/planner"
)

// OrderKind says what an order does.
type OrderKind uint8

// The kinds of order.
const (
	Bind       OrderKind = iota // put Proxy on Table for all routes
	SetLine                     // Node gets Figure as its weight in Table, 0: none
	SetLevel                    // Route of Table gets Figure as its level, and Tries
	RequestAck                  // whom the batch reaches acknowledges Nonce
	Forget                      // Proxy left or joined anew: older orders to bind it are void
)

// Order is one thing that the module ordered, in names.
type Order struct {
	Kind                OrderKind
	Proxy, Table, Nonce int
	Node, Route         string
	Figure              float64
	Tries               planner.Tries
}

// host implements brain.Host. The module calls it during a turn only.
type host struct{ *Core }

func (h host) Bind(proxy, table int) {
	h.batch = append(h.batch, Order{Kind: Bind, Proxy: proxy, Table: table})
}

func (h host) SetLine(table int, node uint32, weight float64) {
	h.batch = append(h.batch, Order{Kind: SetLine, Table: table, Node: h.name[node], Figure: weight})
}

func (h host) SetLevel(table int, route planner.RouteID, level float64, tries planner.Tries) {
	h.batch = append(h.batch, Order{Kind: SetLevel, Table: table, Route: h.every[route], Figure: level, Tries: tries})
}

func (h host) RequestAck(nonce int) {
	h.batch = append(h.batch, Order{Kind: RequestAck, Nonce: nonce})
}

func (h host) Wake(at float64) { h.wakeAt = min(h.wakeAt, at) }

// Subscribe does nothing: the front watches the list all the time, and asking its service costs nothing here.
func (h host) Subscribe() {}

func (h host) Log(text string) { h.log.Info(text, zap.String("by", "module")) }
