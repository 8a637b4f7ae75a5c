// Package controller runs a planner in real time, for the proxies that are joined to one process.
//
// Its one job is to turn what happens around the process into calls of the planner, one at a time, and to hand on what
// the planner commands. It knows no socket and no protocol: the transports (platform/transport, xds/transport) report to a
// Controller what happens and are its CommandSink.
//
// There are two sides, and each function belongs to one of them:
//
//   - The methods of Controller may be called on any goroutine. Each one that reports what happened posts an event
//     and returns; it waits only while the queue of events is full.
//   - The methods of eventLoop, and the planner itself, run on the goroutine of Run alone (before Run starts, on that of
//     New). They need no locks.
//
// An iteration of the event loop handles all events that wait, lets the planner take its step if one is due, and hands
// the commands of both to the sink as one batch.
//
// The transports speak in names, the planner in small numbers: those of zones, machine types and routes are their
// places in the settings, those of nodes are assigned when a node is first listed and used again some time after it was
// removed. Times are Unix times in seconds of a clock that never steps.
package controller
