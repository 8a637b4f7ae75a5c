// Package brain plans where the calls of plain proxies go. It sees no call itself.
//
// A Conductor is made by New and then told what happens, by one method for each thing that can happen. It acts by calling
// the Host that it was handed, and asks to be woken steadily.
//
// The decisions are in one file a job, each with the constants that it is tuned by:
//
//   - conductor.go: the start and the order of the steps
//   - list.go: the list of nodes
//   - proxies.go: proxies that join, leave and are bound to tables
//   - pools.go: pools of nodes and proxies, and what of each pool's traffic goes to which
//   - load.go: what proxies met at nodes, what is asked of them, and how full the fleet is
//   - health.go: nodes that fail, and their way back
//   - speed.go: what a node can answer
//   - levels.go: how much of each route is let in
//   - tables.go: the tables as wanted and as sent, and when what moved goes out
//   - queue.go: use of the channel to the proxies
//
// The other files decide nothing: host.go has the Host and the types that a Conductor is handed, state.go what it
// remembers, channel.go the account of what waits on its way to the proxies, helper.go sums and chance.
package planner

// Host carries out what a Conductor orders. The orders given while one batch of happenings is handled
// leave as one message for each proxy concerned.
type Host interface {
	// Bind puts a joined proxy on a table for all routes.
	Bind(proxy, table int)
	// SetLine sets a node's weight in a table; weight 0 removes the line.
	SetLine(table int, node uint32, weight float64)
	// SetLevel sets how much of a route the proxies of a table let in, and when they try again.
	SetLevel(table int, route RouteID, level float64, tries Tries)
	// RequestAck asks every proxy that this batch's messages reach to acknowledge the nonce.
	RequestAck(nonce int)
	// Wake asks for Conductor.Tick at a time.
	Wake(at float64)
	// Subscribe asks the list's service for changes from now on.
	Subscribe()
	// Log writes a line for the operators.
	Log(text string)
}

// AllTables stands for every joined proxy in Host.SetLevel.
const AllTables = 65535

// Tries says when a proxy tries another node by itself.
type Tries uint8

// The further tries a proxy can be told to make.
const (
	NoRetry     Tries = iota
	RetryUnsent       // one, after proof that the first never ran
)

// LevelKind says what a level counts.
type LevelKind uint8

// The kinds of level.
const (
	LevelsOff     LevelKind = iota
	LevelFraction           // the part of a route that is let in
	LevelRate               // calls a second at each proxy
)

// Condition is what the list says of a node.
type Condition uint8

// The conditions of a listed node.
const (
	Gone Condition = iota
	Ready
	Draining
)

// RouteID names a route by its index in Site.Routes.
type RouteID uint16

// Route is a kind of call.
type Route struct {
	SLOTime    float64
	Importance float64
	HomeOnly   bool // goes to nodes of the proxy's zone only
}

// Site is what a conductor is told of its deployment when it starts. Times are in seconds.
type Site struct {
	Seed        uint64
	Zones       int
	Kinds       int // machine types
	Conductors  int
	Proxies     int  // of all conductors
	OwnZone     bool // a proxy joins a conductor of its own zone if there is one
	Routes      []Route
	Sliced      bool // tables belong to slices that a store hands out
	MustAsk     bool // the list's changes come only after Subscribe
	AskWithin   float64
	Utilization int // its place in a load report, -1 if absent
	Backlog     int // the same
	Levels      LevelKind
	Pace        float64 // lines a second that the channel sends
	Queue       float64 // lines that may wait in the channel
	Head        float64 // lines that a message costs beside its own
	Messages    int     // most messages to one proxy within MessageSpan, 0 for no limit
	MessageSpan float64
	Period      float64 // between sums
	Ramp        float64 // a node is warm after this
	FallTimes   float64 // multiple of its present capacity that pushes a cold node over
}

// Row is an entry of the list.
type Row struct {
	Node      uint32
	Kind      int
	Zone      int
	Weight    float64
	Condition Condition
	Started   float64 // 0: long past
}

// Sums is what the joined proxies of one zone met at a node.
type Sums struct {
	Node   uint32
	Ended  int       // tries that ended
	Lost   int       // of these, without a good answer
	Span   float64   // over which they ended
	Mean   float64   // time of the good ones, 0 if none
	Report []float64 // the node's load report, empty if none; valid during the call only
}

// Usage is what clients asked of a proxy on one route.
type Usage struct {
	Proxy int
	Route RouteID
	Calls int
	Span  float64
}
