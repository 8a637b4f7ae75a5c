// Package cluster has three or five controllers agree on one configuration over Raft: routes, services, tenants and
// overrides as records of package records. Its one job is agreement. Decisions about load stay with each controller's
// planner, and nothing that happens every second goes through the log.
//
// # Types
//
//   - State is what is agreed: records, versions, client sessions, and the members' addresses and disks. It is a function
//     of the log alone, so that all members come to the same one.
//   - Member is one controller's part in the group as a machine without I/O, around etcd's raft library. It is fed ticks
//     (Tick), messages (Step) and requests (Propose, RequestReadIndex, ChangeMembers); Advance then has it act. The
//     simulation and the scaling measurements drive it with a virtual clock.
//   - Node drives a Member in service: its ticker, its disk (package raftlog), its connections to other members, and the
//     gRPC service that operators call. All of the member is touched on the goroutine of Node.Run alone.
//   - Command is one entry of the log, Result what became of it.
//
// A configuration can be changed by single records (CommandRecords) or by a full text, which is one document that names
// all of it (CommandPut). The first release held full texts and no records; its snapshots are read (snapshot_fulltexts.go).
//
// # Use
//
// The daemon opens its log, makes a node, registers it on a gRPC server and runs it:
//
//	disk, saved, err := raftlog.Open(folder)
//	...
//	node, err := cluster.NewNode(id, disk, saved, voters, addresses, cluster.NewState(format), logger)
//	...
//	node.Register(server)
//	err = node.Run(ctx)
//
// Operators' tools dial a member with Dial and use Call with the requests of messages.go.
//
// # The way of a proposal
//
//  1. handlePropose checks it against this controller's own endpoints and routes (Node.CheckProposal).
//  2. Node.Propose hands it to Member.Propose, which forwards it to the leader, and repeats it until there is a result.
//  3. The leader appends it; Member.Advance persists it at each member before the message that acknowledges it leaves.
//  4. Once a majority has it, Member.applyEntry has State.Apply carry it out at each member.
//  5. Node.notifyProposers gives the Result to the callers of Propose; State.OnCommit reports the change of records.
//
// # Where to look
//
//   - A proposal is rejected: errors.go has one type for each cause; configuration.go and records check for them.
//   - A member does not follow: election.go, membership.go, compaction.go and, for the connections, peer.go.
//   - Bytes on the wire: messages.go (calls), transport.go (metadata). Bytes of the state: snapshot.go.
package cluster
