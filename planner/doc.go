// Package planner decides where the requests of plain proxies go, and how many of them are admitted. It does no I/O,
// has no goroutines and no clock, and sees no request itself.
//
// A controller makes a [Planner] with [New] and tells it what happens, by one method for each kind of event: the
// endpoint list and its changes, proxies that join and leave, load and demand reports, and the outcome of commands. The
// planner commands through the [Host] that it was given, and asks to be called again with Host.Wake. Equal events give
// equal commands, bit for bit.
//
// Endpoints and proxies of a zone are divided into subsets; the proxies of a subset share one routing table, whose
// number is that of the subset. [Planner.Step] goes through the decisions in this order; each has a file:
//
//   - load.go: what endpoints answer
//   - demand.go: how many requests arrive at our proxies
//   - outlier.go: which endpoints are ejected, and their probation
//
// then, every updateIntervalSeconds:
//
//   - capacity.go, slowstart.go: how many requests an endpoint can take
//   - load.go (measureFleet): how saturated the fleet is
//   - retrypolicy.go: whether proxies try another endpoint by themselves
//   - clientretries.go, admission.go: how many requests are client retries, and how much of each route is admitted
//
// and when tables are planned and published:
//
//   - unseendemand.go: how many requests arrive at the proxies that other controllers serve
//   - allocation.go: how much of a subset's demand goes to the endpoints of which subset
//   - tables.go: the routing tables, as desired and as published
//   - publication.go, publishlevels.go: what is sent when, and in which order
//   - flowcontrol.go: whether it fits into the channel to the proxies
//
// Where the settings have tables sharded (Config.Sharded), a store hands out the tables and the planner is inactive: see
// Planner.inactive.
//
// Besides, endpoints.go, proxies.go and subsets.go hold what is known of these. The other files decide nothing:
// planner.go composes the decisions, inflight.go counts the entries in flight, host.go and types.go are what a
// controller implements and passes in.
//
// Times are in seconds of the controller's clock, rates in requests a second.
package planner
