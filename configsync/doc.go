// Package configsync distributes the agreed configuration from a group's members to controllers that are not members.
//
// The configuration consists of records. Each commit of the group has a revision, and each record the revision of its
// last change. A follower, which is such a controller, receives the records of its scope: those of some services or
// zones, or all. The routing revision of a scope is the revision at which one of its routes last changed.
//
// A [Server] is the member's side: it tracks the scope, the lease and the accepted revision of each follower and
// returns the next message of each [Stream]. A [Follower] is the other side: it checks each [Update], applies or
// rejects it, and answers with an ACK or NACK. Both are state machines without I/O, and the caller passes in the
// current time; package configsync/transport connects them to gRPC, and the simulation and load test connect them to
// each other.
//
// A stream proceeds as follows:
//
//  1. The follower sends a [Handshake] with its name, scope and accepted revision. The member answers with a heartbeat.
//  2. The member sends an update: a delta since the accepted revision if its history goes back that far, otherwise the
//     full scope. At most one update is unanswered, so that commits made in the meantime arrive as one delta.
//  3. The follower answers with the update's nonce. A NACK contains the reason; the member sends that revision again
//     after a backoff.
//  4. The follower renews its lease every [Follower.RenewInterval]; the member answers each renewal with a heartbeat.
//
// [Merge] combines the [MemberStatus] of all members into a [Convergence], which contains the revision that every
// follower with a lease has accepted.
//
// If a change is not in effect at a controller, Convergence.Behind contains the revision that its follower has
// accepted, the revision that it rejected last and the reason. Convergence.Stale lists the followers without a lease,
// and Convergence.UnknownMembers the members whose leases are not all known.
//
// The messages are those of delta xDS; wire.go defines their encoding.
package configsync
