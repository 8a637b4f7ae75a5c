// Package xds compiles a controller's commands into versioned xDS resources and computes the responses that each
// sidecar receives. It implements the server side of the aggregated discovery service (ADS) in both variants, state of
// the world and delta.
//
// All types are state machines without I/O: callers pass in messages and times, and get messages back. Package
// xds/transport connects them to gRPC. Times are in seconds on the caller's monotonic clock.
//
//   - A [Compiler] applies the planner's commands to the routing tables and builds a [Snapshot] of each table: one
//     [ResourceSet] per [ResourceType]. The version of a [Resource] is the hash of its content.
//   - A [Stream] tracks the subscriptions of one sidecar, the pending responses, and the resources that the sidecar has
//     accepted (ACK) or rejected (NACK). It returns the next response that is due.
//   - A [Server] manages the sidecars and their streams. It sets the target snapshot of each stream from the commands
//     and notifies its [Sink] when a sidecar has accepted all resources up to a nonce of the planner.
//
// The planner binds each sidecar to one routing table. It calls a sidecar a proxy and identifies it by a number. There
// are two kinds of nonce: that of an xDS response, which the sidecar's answer repeats, and that of the planner, which
// identifies a request for the acknowledgement of all commands so far.
//
// To diagnose a sidecar that routes incorrectly, [Server.Sidecars] returns its routing table and, for each resource,
// the accepted and the target version, how long a response has been pending, and the rejected version with its reason.
// The client status discovery service exposes the same data to operators.
package xds
