// Package configsync distributes the agreed configuration from a group's members to controllers that are not members.
//
// A [Server] is the member's half: it knows the scope, the lease and the accepted revision of each follower and gives the
// next message of each [Stream]. A [Follower] is the other half: it checks each [Update], applies or rejects it, and
// answers with an ACK or NACK. Both are state machines without I/O that are given the time; package
// configsync/transport connects them to gRPC, and the simulation and load test connect them to each other.
//
// The course of a stream:
//
//  1. The follower sends a [Handshake] with its name, scope and accepted revision. The member answers with a heartbeat.
//  2. The member sends an update: the full scope, or a delta since the accepted revision while its history reaches that
//     far. At most one update is unanswered, so that commits meanwhile arrive as one delta.
//  3. The follower answers with the update's nonce. A NACK carries the reason; the member sends that revision again after
//     a backoff.
//  4. The follower renews its lease at each [Follower.RenewInterval]; each renewal is answered by a heartbeat.
//
// [Merge] combines the [MemberStatus] of all members into a [Convergence], which tells the revision that every follower
// with a lease has accepted.
//
// If a change is not in effect at a controller, Convergence.Behind has the revision that its follower has accepted, the one
// that it rejected last and the reason; Convergence.Stale has the followers without a lease, and Convergence.UnknownMembers
// the members whose followers are not all known.
//
// The messages are those of delta xDS; wire.go has their form.
package configsync
