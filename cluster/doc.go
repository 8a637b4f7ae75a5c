// Package cluster replicates one configuration among three or five controllers by Raft. The configuration consists of
// routes, services, tenants and overrides, stored as records of package records. The package does not decide about
// load: each controller's planner does that by itself, and nothing that happens every second is written to the log.
//
// # Types
//
//   - State is the replicated state machine: records, versions, client sessions, and the members' addresses and disk
//     identities. It depends only on the log, so that all members reach the same state.
//   - Member is one member of the group as a state machine without I/O, built on etcd's raft library. Its inputs are
//     ticks (Tick), messages (Step) and requests (Propose, RequestReadIndex, ChangeMembers); Advance processes them.
//     The simulation and the scaling measurements drive it with a virtual clock.
//   - Node runs a Member in production: its ticker, its disk (package raftlog), its connections to other members, and
//     the gRPC service that operators call. The member is only accessed on the goroutine of Node.Run.
//   - Command is one entry of the log, and Result is its outcome.
//
// A configuration is changed either by writes of single records (CommandRecords) or by a full text, a document that
// contains the entire configuration (CommandPut). The first release stored full texts instead of records; its snapshots
// can still be read (snapshot_fulltexts.go).
//
// # Use
//
// The daemon opens its log, creates a node, registers it on a gRPC server and runs it:
//
//	disk, saved, err := raftlog.Open(folder)
//	...
//	node, err := cluster.NewNode(id, disk, saved, voters, addresses, cluster.NewState(format), logger)
//	...
//	node.Register(server)
//	err = node.Run(ctx)
//
// Operators' tools connect to a member with Dial and send the requests of messages.go with Call.
//
// # Lifecycle of a proposal
//
//  1. handlePropose checks it against this controller's own endpoints and routes (Node.CheckProposal).
//  2. Node.Propose passes it to Member.Propose, which forwards it to the leader, and retries until there is a result.
//  3. The leader appends it; Member.Advance persists it at each member before the acknowledging message is sent.
//  4. Once a majority has persisted it, Member.applyEntry applies it at each member by State.Apply.
//  5. Node.notifyProposers sends the Result to the callers of Propose; State.OnCommit reports the change of records.
//
// # Where to look
//
//   - A proposal is rejected: errors.go declares the causes; configuration.go and package records check for them.
//   - A member does not follow the leader: election.go, membership.go, compaction.go and, for connections, peer.go.
//   - Encodings: messages.go (calls), transport.go (call metadata), snapshot.go (state).
package cluster
