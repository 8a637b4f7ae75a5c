// Package controller runs a planner in real time for the proxies that are connected to one process.
//
// It translates external events into planner calls, one at a time, and forwards the planner's commands. It contains no
// socket or protocol code: the transports (platform/transport, xds/transport) report events to a Controller and
// implement its CommandSink.
//
// Each function runs in one of two contexts:
//
//   - The methods of Controller may be called from any goroutine. Each method that reports an event posts it to a
//     queue and returns; it blocks only while the queue is full.
//   - The methods of eventLoop, and the planner itself, run only on the goroutine of Run (before Run starts, on that of
//     New). They need no locks.
//
// An iteration of the event loop handles all queued events, runs the planner's step if one is due, and passes the
// resulting commands to the sink as one batch.
//
// The transports use names, the planner uses small numbers. The number of a zone, machine type or route is its index in
// the settings. The number of a node is assigned when the node is first listed, and is reused some time after the node
// was removed. Times are Unix times in seconds, read from a clock that never steps.
package controller
