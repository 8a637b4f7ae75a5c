package planner

import "fmt"

// RetryPolicy specifies when a proxy retries a request at another endpoint by itself.
type RetryPolicy uint8

// The retry policies.
const (
	NoRetry        RetryPolicy = iota // never
	RetryIfNotSent                    // once, if the first attempt was provably not sent
)

// String returns the policy's name.
func (r RetryPolicy) String() string {
	switch r {
	case NoRetry:
		return "no retry"
	case RetryIfNotSent:
		return "retry if not sent"
	}
	return fmt.Sprintf("RetryPolicy(%d)", uint8(r))
}

// AdmissionKind is the unit of admission levels.
type AdmissionKind uint8

// The kinds of admission.
const (
	AdmissionOff      AdmissionKind = iota // proxies admit all requests
	AdmissionFraction                      // the fraction of a route's requests that is admitted, 0 to 1
	AdmissionRate                          // the requests a second that each proxy admits
)

// String returns the kind's name.
func (a AdmissionKind) String() string {
	switch a {
	case AdmissionOff:
		return "off"
	case AdmissionFraction:
		return "fraction"
	case AdmissionRate:
		return "rate"
	}
	return fmt.Sprintf("AdmissionKind(%d)", uint8(a))
}

// EndpointState is the state of an endpoint according to the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	Removed  EndpointState = iota // it is no longer on the list
	Ready                         // it accepts requests
	Draining                      // it must get no new requests
)

// RouteID identifies a route by its index in Config.Routes.
type RouteID uint16

// Route describes the requests of one route.
type Route struct {
	LatencyObjective float64 // s; a later response has no value
	PriorityWeight   float64 // value of a response within the objective, relative to other routes
	LocalZoneOnly    bool    // its requests are sent only to endpoints in the proxy's zone
}

// Config describes the deployment of a planner. It comes from the platform's settings (package settings) or from the
// configuration of an installation (package config).
type Config struct {
	Seed             uint64 // seed of random decisions
	Zones            int
	MachineTypes     int
	Controllers      int  // number of controllers, which share the endpoints
	Proxies          int  // number of proxies of all controllers
	LocalZoneProxies bool // whether a proxy joins a controller of its own zone if there is one
	Routes           []Route
	Sharded          bool // whether a store distributes the tables in shards, so that the planner is inactive
	MustSubscribe    bool // whether changes of the endpoint list arrive only after Host.Subscribe

	SubscribeTimeout float64 // s, time limit of a subscription

	UtilizationIndex int // index in LoadReport.Values of the busy fraction of an endpoint's cores; -1 if not reported
	QueueLengthIndex int // index in LoadReport.Values of the requests queued at an endpoint; -1 if not reported

	Admission AdmissionKind // unit of the levels in Host.SetAdmission

	EntriesPerSecond   float64 // stated rate of the channel to the proxies, 0 if not stated
	MaxInFlightEntries float64 // maximum number of entries in the channel's queue
	MessageOverhead    float64 // cost of a message in entries, in addition to the entries that it carries
	MaxMessages        int     // maximum number of messages to one proxy within MessageWindow, 0 for no limit
	MessageWindow      float64 // s

	DrainGrace       float64 // s, within which proxies must stop sending to an endpoint that drains or was removed
	ReportInterval   float64 // s, between two load reports on an endpoint
	SlowStartWindow  float64 // s, from the start of an endpoint's process until it is warm
	OverloadMultiple float64 // load that overloads a cold endpoint, as a multiple of its current capacity
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Node        uint32  // number that identifies it in commands
	MachineType int     // from 0, less than Config.MachineTypes
	Zone        int     // from 0, less than Config.Zones
	Weight      float64 // capacity relative to other endpoints; 0 or less counts as 1
	State       EndpointState
	StartTime   float64 // s, when its process started; 0 if that is long past
}

// LoadReport summarizes the attempts of the proxies of one zone at an endpoint in an interval.
type LoadReport struct {
	Node        uint32
	Completed   int       // number of attempts that completed
	Failed      int       // number of these that got no successful response
	Interval    float64   // s, in which the attempts completed
	MeanLatency float64   // s, of the successful responses; 0 if there are none
	Values      []float64 // values reported by the endpoint itself, empty if there are none; valid only during the call
}

// DemandReport is the number of requests of one route that arrived at a proxy in an interval.
type DemandReport struct {
	Proxy    int
	Route    RouteID
	Requests int
	Interval float64 // s
}
