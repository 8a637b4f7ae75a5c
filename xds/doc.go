// Package xds turns a controller's commands into versioned xDS resources and decides what each sidecar is sent. It speaks
// the aggregated discovery service in both variants, state of the world and delta.
//
// All types are state machines without I/O: they are given messages and times, and return messages. Package xds/transport
// connects them to gRPC. Times are seconds on the caller's monotonic clock.
//
//   - A [Compiler] has the routing tables as the planner's commands leave them, and makes a [Snapshot] of each: one
//     [ResourceSet] per [ResourceType]. The version of a [Resource] is the hash of its content.
//   - A [Stream] knows what one sidecar has subscribed to, was sent, has accepted (ACK) and has rejected (NACK), and returns
//     the next response of each type.
//   - A [Server] has the streams and the sidecars behind them. It sets the target snapshot of each from the commands and
//     tells its [Sink] when a sidecar has accepted all up to a nonce of the planner.
//
// If a sidecar does not route as it should, [Server.Sidecars] has its table, and for each resource the accepted and the target
// version, since when a response is pending, and what was rejected and why. Operators get it by client status discovery.
package xds
