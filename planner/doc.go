// Package planner decides to which endpoints proxies send requests, and how many requests the proxies admit. It
// performs no I/O, starts no goroutines, reads no clock and never handles a request itself.
//
// A [Planner] is a deterministic state machine: it receives events and issues commands. Equal sequences of events
// produce equal commands, bit for bit. This makes it possible to run the same planner in a controller, in a simulation
// and in tests.
//
// Times are in seconds of the controller's clock, and rates are in requests a second.
//
// # Terms
//
//   - An endpoint is a process that answers requests, identified by the number of its node. All endpoints together are
//     the fleet. An endpoint is cold from the start of its process until its slow start has ended, and then warm.
//   - A request reaches the endpoints as one or more attempts, because a proxy may retry it. A client may also send a
//     rejected request again. Such requests are client retries, and all others are original requests.
//   - The baseline rate of a proxy is the number of requests a second that it usually receives.
//   - The channel carries messages to the proxies. A message contains entries: weights, admission levels, binds and
//     nonces for one proxy. An entry is in flight until an acknowledgement shows that it has left the channel.
//   - An admission level defines how many requests of a route the proxies admit. The fleet is throttled while a work
//     budget limits the levels.
//   - Saturation is the mean latency of attempts as a fraction of the latency objective.
//
// # Usage
//
// A controller implements [Host], which carries out the planner's commands, and creates a planner with [New]:
//
//	p := planner.New(host, config, now)
//
// It then calls one method for each kind of event. A Planner is not safe for concurrent use, so all calls come from the
// controller's event loop. Each method takes the current time, which is the same for all calls of one iteration of the
// loop: see [Host].
//
// First, the planner needs the endpoint list and its changes:
//
//	p.ReplaceEndpoints(now, endpoints)
//	p.UpdateEndpoints(now, changed)
//	p.EndpointWatchFailed(now)
//
// Second, it needs the proxies whose streams connect and break:
//
//	p.ProxyJoined(now, proxy, zone, rate)
//	p.ProxyLeft(now, proxy)
//
// Third, it needs the load of the endpoints and the demand at the proxies:
//
//	p.AddLoadReport(now, loadReport)
//	p.AddDemandReport(now, demandReport)
//
// Fourth, it needs the outcome of its commands. A batch of commands carries a nonce (Host.RequestAck), by which the
// controller reports that the call with the batch was accepted or is retried, and that a proxy has applied it:
//
//	p.CommandsAccepted(now, nonce)
//	p.CommandsRetried(now, nonce, full)
//	p.Acknowledged(now, proxy, nonce)
//
// Finally, the controller calls [Planner.Step] at the time that the planner requested with Host.Wake.
//
// # Decisions
//
// The endpoints and proxies of a zone are divided into subsets. The proxies of a subset share one routing table, whose
// number is that of the subset. Planner.Step makes the following decisions in order. Each of them has its own file:
//
//   - load.go: the load of the endpoints, from load reports
//   - demand.go: the request rate at the proxies of this controller
//   - outlier.go: which endpoints are ejected, and their probation
//
// Every updateIntervalSeconds it also decides:
//
//   - capacity.go, slowstart.go: the capacity of each endpoint
//   - load.go (measureFleet): the saturation of the fleet
//   - retrypolicy.go: whether proxies retry a request at another endpoint by themselves
//   - clientretries.go, admission.go: how many requests are client retries, and how much of each route is admitted
//
// When tables are planned and published:
//
//   - unseendemand.go: the request rate at the proxies of other controllers
//   - allocation.go: how the demand of each subset is divided among the endpoints of all subsets
//   - tables.go: the routing tables, as desired and as published
//   - publication.go, publishlevels.go: which changes are sent, when and in which order
//   - removals.go: how removals of endpoints and binds of proxies take turns
//   - flowcontrol.go: whether they fit into the channel to the proxies
//
// The state of endpoints, proxies and subsets is in endpoints.go, proxies.go and subsets.go. The remaining files make
// no decisions: planner.go runs the decisions in order, inflight.go counts the entries in flight, host.go and types.go
// define what a controller implements and passes in.
//
// # Sharded tables
//
// If the tables are sharded (Config.Sharded), a store outside the controller distributes them and the planner is
// inactive: see Planner.inactive.
package planner
