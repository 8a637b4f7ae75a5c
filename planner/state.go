package planner

type health uint8

const (
	healthy   health = iota
	ejected          // gets no calls for a while
	probation        // gets few, to be judged by
)

// Planner decides for the proxies joined to it.
type Planner struct {
	host   Host
	config Config
	now    float64
	draws  uint64

	indexOf                  map[uint32]int // nodes, under the dense index of what follows
	unused                   []int          // indices of nodes that were forgotten
	node                     []uint32
	subset, machineType      []int
	weight                   []float64
	state                    []EndpointState
	startTime                []float64 // its last start; its ramp begins there
	answered, busySeconds    []float64 // calls that it answered and s of its listed weight that it was busy meanwhile, fading
	health                   []health
	healthSince              []float64 // of its health
	baselineLatency          []float64 // best mean time of its answers
	queueLength, utilization []float64 // calls waiting there and busy part of its cores, as reported

	completed, failed, latencySum []float64 // tries that ended, those lost, and the time of the good ones, fading

	typeCapacity []float64 // answers a second of being busy and of listed weight, by machine type

	connected          []bool      // proxies, by number
	assigned           []int       // its pool
	baselineRate       []float64   // calls a second that it usually gets, as told when it joined
	demand             [][]float64 // calls a second by route; it fades when the proxy left
	unbound            []int       // those that joined and wait to be bound
	dealtByZone        []int       // by zone, the nodes that its pools got so far
	subsetBaselineRate []float64   // by pool, the calls that its proxies usually get
	members            [][]int     // by pool, those on its table
	messageTimes       [][]float64 // by pool, times of the messages written to these lately
	demandReportedAt   []float64   // by pool, when one of its proxies told its usage
	publishedLevels    [][]float64 // by pool, the levels as sent
	levelsPublishedAt  []float64   // by pool, when they were
	publishedNoRetry   []bool      // by pool, whether no further tries were ordered with them

	// What is asked of the proxies, as of the last wake.
	subsetDemand       []float64 // calls a second by pool
	routeDemand        []float64 // calls a second by route, for levels
	meanObjective      float64   // mean SLO time of these
	medianFailureRatio float64   // part of its tries that the median node loses
	successRatio       float64   // part of all tries that was good; 0 while too few ended
	windowCoverage     float64   // part of what is remembered of the nodes that sums have brought since our start

	localZoneOnly      bool        // some route may not leave its zone
	desired, published [][]float64 // weights by pool and node
	tablesOutdated     bool        // a node's condition or health did, and the tables have not yet

	// The step under way: its nonce, until when it waits, and the tables of the step to come.
	stageNonce int
	nextStage  []int

	nextPublication, stageDeadline, nextUpdate, decayedAt, noCutBefore, throttlingSince float64 // the next or last time of each

	inFlight flowControl // what waits on its way to the proxies

	workBudget, peakThroughput float64   // work a second, in SLO times: what is let in, what was answered at best of late
	budgetScale                float64   // listed weight, ramped, of the nodes, times the calls, that these are for
	servedBaselineRate         float64   // usual calls of our proxies, with those that left of late
	originalRequests           []float64 // calls a second by route that are first tries
	unthrottledDemand          []float64 // calls a second by route asked before throttling, for each typical one
	rejected                   []float64 // part of a route that was turned away, as old as what is asked
	clientRetries              float64   // times that a client comes again with what is turned away
	priorityPerCost            []float64 // a route's importance for its SLO time
	routesByPriority           []int     // routes, the one with most gain first
	level                      []float64
	saturation                 float64 // part of an SLO time that the fleet takes for a call
	throttling                 bool
	saturated                  bool // also until sums tell: we may have restarted in the middle of a jam

	subscribeAt, subscribeFailures float64
}
