package planner

import "fmt"

// RetryPolicy says when a proxy tries another endpoint by itself.
type RetryPolicy uint8

// The retry policies.
const (
	NoRetry        RetryPolicy = iota // never
	RetryIfNotSent                    // once, after proof that the first attempt was not sent
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
	AdmissionOff      AdmissionKind = iota // proxies admit everything
	AdmissionFraction                      // the part of a route's requests that is admitted, 0 to 1
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

// EndpointState is what the list says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	Removed  EndpointState = iota // it is not on the list any more
	Ready                         // it takes requests
	Draining                      // it is to get no new requests
)

// RouteID names a route by its index in Config.Routes.
type RouteID uint16

// Route is a kind of request.
type Route struct {
	LatencyObjective float64 // s; an answer after it counts for nothing
	PriorityWeight   float64 // worth of an answer in time, beside those of other routes
	LocalZoneOnly    bool    // its requests go to endpoints of the proxy's zone only
}

// Config is what a planner is told of its deployment when it is made. It comes from the platform's settings (package
// settings) or an installation's configuration (package config).
type Config struct {
	Seed             uint64 // of random decisions
	Zones            int
	MachineTypes     int
	Controllers      int
	Proxies          int  // of all controllers
	LocalZoneProxies bool // a proxy joins a controller of its own zone if there is one
	Routes           []Route
	Sharded          bool // tables belong to slices that a store hands out: the planner is inactive
	MustSubscribe    bool // the list's changes come only after Host.Subscribe

	SubscribeTimeout float64 // s, that a subscription may take

	UtilizationIndex int // of LoadReport.Values, the busy part of an endpoint's cores; -1 if it is not reported
	QueueLengthIndex int // of LoadReport.Values, the requests that wait at an endpoint; -1 if it is not reported

	Admission AdmissionKind

	EntriesPerSecond   float64 // that the channel to the proxies delivers, 0 if not stated
	MaxInFlightEntries float64 // that may wait in the channel
	MessageOverhead    float64 // entries that a message costs beside its own
	MaxMessages        int     // to one proxy within MessageWindow, 0 for no limit
	MessageWindow      float64 // s

	ReportInterval   float64 // s, between two load reports on an endpoint
	SlowStartWindow  float64 // s, after which an endpoint's process is warm
	OverloadMultiple float64 // load, in times of its present capacity, that overloads a cold endpoint
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Node        uint32 // its number, which is its name in commands
	MachineType int    // from 0, under Config.MachineTypes
	Zone        int    // from 0, under Config.Zones
	Weight      float64
	State       EndpointState
	StartTime   float64 // s, when its process started; 0: long past
}

// LoadReport is what the proxies of one zone got from an endpoint in an interval.
type LoadReport struct {
	Node        uint32
	Completed   int       // attempts
	Failed      int       // of these, without a good answer
	Interval    float64   // s, in which they completed
	MeanLatency float64   // s, of the good answers; 0 if there are none
	Values      []float64 // the endpoint's own report, empty if there is none; valid during the call only
}

// DemandReport is the requests of one route that arrived at a proxy in an interval.
type DemandReport struct {
	Proxy    int
	Route    RouteID
	Requests int
	Interval float64 // s
}
