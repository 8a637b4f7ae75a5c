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

	endpoints endpointRegistry
	proxies   proxyRegistry
	subsets   []subset

	typeCapacity []float64 // answers a second of being busy and of listed weight, by machine type

	// What is asked of the proxies, as of the last wake.
	routeDemand        []float64 // calls a second by route, for levels
	meanObjective      float64   // mean SLO time of these
	medianFailureRatio float64   // part of its tries that the median node loses
	successRatio       float64   // part of all tries that was good; 0 while too few ended
	windowCoverage     float64   // part of what is remembered of the nodes that sums have brought since our start

	localZoneOnly  bool // some route may not leave its zone
	tablesOutdated bool // a node's condition or health did, and the tables have not yet

	// The step under way: its nonce, until when it waits, and the tables of the step to come.
	stageNonce int
	nextStage  []int

	nextPublication, stageDeadline, nextUpdate, decayedAt float64 // the next or last time of each

	flow flowControl

	admission  admissionControl
	retries    retryControl
	saturation float64 // part of an SLO time that the fleet takes for a call

	subscribeAt, subscribeFailures float64
}
