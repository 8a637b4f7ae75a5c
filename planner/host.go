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
	// BindProxy puts a joined proxy on a table for all routes.
	BindProxy(proxy, table int)
	// SetWeight sets a node's weight in a table; weight 0 removes the line.
	SetWeight(table int, node uint32, weight float64)
	// SetAdmission sets how much of a route the proxies of a table let in, and when they try again.
	SetAdmission(table int, route RouteID, level float64, tries RetryPolicy)
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

// RetryPolicy says when a proxy tries another node by itself.
type RetryPolicy uint8

// The further tries a proxy can be told to make.
const (
	NoRetry        RetryPolicy = iota
	RetryIfNotSent             // one, after proof that the first never ran
)

// AdmissionKind says what a level counts.
type AdmissionKind uint8

// The kinds of level.
const (
	AdmissionOff      AdmissionKind = iota
	AdmissionFraction               // the part of a route that is let in
	AdmissionRate                   // calls a second at each proxy
)

// EndpointState is what the list says of a node.
type EndpointState uint8

// The conditions of a listed node.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// RouteID names a route by its index in Site.Routes.
type RouteID uint16

// Route is a kind of call.
type Route struct {
	LatencyObjective float64
	PriorityWeight   float64
	LocalZoneOnly    bool // goes to nodes of the proxy's zone only
}

// Config is what a conductor is told of its deployment when it starts. Times are in seconds.
type Config struct {
	Seed               uint64
	Zones              int
	MachineTypes       int // machine types
	Controllers        int
	Proxies            int  // of all conductors
	LocalZoneProxies   bool // a proxy joins a conductor of its own zone if there is one
	Routes             []Route
	Sharded            bool // tables belong to slices that a store hands out
	MustSubscribe      bool // the list's changes come only after Subscribe
	SubscribeTimeout   float64
	UtilizationIndex   int // its place in a load report, -1 if absent
	QueueLengthIndex   int // the same
	Admission          AdmissionKind
	EntriesPerSecond   float64 // lines a second that the channel sends
	MaxInFlightEntries float64 // lines that may wait in the channel
	MessageOverhead    float64 // lines that a message costs beside its own
	MaxMessages        int     // most messages to one proxy within MessageSpan, 0 for no limit
	MessageWindow      float64
	ReportInterval     float64 // between sums
	SlowStartWindow    float64 // a node is warm after this
	OverloadMultiple   float64 // multiple of its present capacity that pushes a cold node over
}

// Endpoint is an entry of the list.
type Endpoint struct {
	Node        uint32
	MachineType int
	Zone        int
	Weight      float64
	State       EndpointState
	StartTime   float64 // 0: long past
}

// LoadReport is what the joined proxies of one zone met at a node.
type LoadReport struct {
	Node        uint32
	Completed   int       // tries that ended
	Failed      int       // of these, without a good answer
	Interval    float64   // over which they ended
	MeanLatency float64   // time of the good ones, 0 if none
	Values      []float64 // the node's load report, empty if none; valid during the call only
}

// DemandReport is what clients asked of a proxy on one route.
type DemandReport struct {
	Proxy    int
	Route    RouteID
	Requests int
	Interval float64
}
