package planner

type health uint8

const (
	healthy health = iota
	ejected        // gets no calls for a while
	onTrial        // gets few, to be judged by
)

// Planner decides for the proxies joined to it.
type Planner struct {
	host  Host
	site  Config
	now   float64
	draws uint64

	index      map[uint32]int // nodes, under the dense index of what follows
	spare      []int          // indices of nodes that were forgotten
	node       []uint32
	pool, kind []int
	listed     []float64
	condition  []EndpointState
	started    []float64 // its last start; its ramp begins there
	done, busy []float64 // calls that it answered and s of its listed weight that it was busy meanwhile, fading
	health     []health
	since      []float64 // of its health
	quick      []float64 // best mean time of its answers
	queue, use []float64 // calls waiting there and busy part of its cores, as reported

	ended, lost, spent []float64 // tries that ended, those lost, and the time of the good ones, fading

	kindSpeed []float64 // answers a second of being busy and of listed weight, by machine type

	joined       []bool      // proxies, by number
	home         []int       // its pool
	typical      []float64   // calls a second that it usually gets, as told when it joined
	usage        [][]float64 // calls a second by route; it fades when the proxy left
	unbound      []int       // those that joined and wait to be bound
	nodesDealt   []int       // by zone, the nodes that its pools got so far
	callers      []float64   // by pool, the calls that its proxies usually get
	members      [][]int     // by pool, those on its table
	writes       [][]float64 // by pool, times of the messages written to these lately
	heardAt      []float64   // by pool, when one of its proxies told its usage
	sentLevels   [][]float64 // by pool, the levels as sent
	levelsSentAt []float64   // by pool, when they were
	sentNoRetry  []bool      // by pool, whether no further tries were ordered with them

	// What is asked of the proxies, as of the last wake.
	poolCalls  []float64 // calls a second by pool
	asked      []float64 // calls a second by route, for levels
	slo        float64   // mean SLO time of these
	medianLost float64   // part of its tries that the median node loses
	answering  float64   // part of all tries that was good; 0 while too few ended
	filled     float64   // part of what is remembered of the nodes that sums have brought since our start

	homeOnly   bool        // some route may not leave its zone
	want, sent [][]float64 // weights by pool and node
	changed    bool        // a node's condition or health did, and the tables have not yet

	// The step under way: its nonce, until when it waits, and the tables of the step to come.
	stepNonce  int
	nextTables []int

	planAt, stepUntil, learnAt, fadedAt, holdUntil, throttledAt float64 // the next or last time of each

	channel channel // what waits on its way to the proxies

	budget, peak float64   // work a second, in SLO times: what is let in, what was answered at best of late
	fleet        float64   // listed weight, ramped, of the nodes, times the calls, that these are for
	calling      float64   // usual calls of our proxies, with those that left of late
	firstTries   []float64 // calls a second by route that are first tries
	askedBefore  []float64 // calls a second by route asked before throttling, for each typical one
	turnedAway   []float64 // part of a route that was turned away, as old as what is asked
	repeats      float64   // times that a client comes again with what is turned away
	gain         []float64 // a route's importance for its SLO time
	order        []int     // routes, the one with most gain first
	level        []float64
	load         float64 // part of an SLO time that the fleet takes for a call
	throttling   bool
	full         bool // also until sums tell: we may have restarted in the middle of a jam

	askAt, askTries float64
}
