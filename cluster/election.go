package cluster

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Elections are timed here and not by the raft library, whose draws come from the system: a run with the same seed has
// to be the same run. The library's ticks are used at the leader alone.

// snapshotTimeoutElections is how many election timeouts a snapshot may be under way before it counts as lost.
const snapshotTimeoutElections = 4

// Tick lets a unit of time pass.
func (m *Member) Tick() {
	if m.role == raft.StateLeader {
		m.rawNode.Tick() // a leader without a majority for an election timeout steps down
		m.expireSnapshots()
		return
	}
	m.rawNode.TickQuiesced()
	m.electionElapsed++
	if m.electionElapsed < m.electionTimeout {
		return
	}
	m.electionElapsed = 0
	m.resetElectionTimeout()
	ignoreError(m.rawNode.Campaign()) // a member that may not campaign, as a learner, goes on waiting
}

// resetElectionTimeout sets the time without a leader after which this member campaigns: between one and two times
// Timing.ElectionTicks, so that members seldom campaign at once.
func (m *Member) resetElectionTimeout() {
	m.randomCounter++
	hash := fnv.New64a()
	fmt.Fprint(hash, m.electionSeed, " ", m.randomCounter, " ", m.ID)
	random := mixBits(hash.Sum64())
	m.electionTimeout = m.timing.ElectionTicks + int(random%uint64(m.timing.ElectionTicks))
}

// mixBits spreads a hash of similar texts over all bits (a step of SplitMix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>27
}

// Step takes a message of another member. Identity is the sender's disk, and known the disk that the sender knows this
// member by, empty if none.
//
// It guards against a disk that was lost and made anew, which forgot what its number promised and may vote twice in a
// term: what it sends under a number that is registered for another disk is dropped and counted. It learns from the
// others' messages that they know another disk, and ends. A disk that was put back from a copy of itself has the same
// identity and passes.
func (m *Member) Step(identity, known string, message *raftpb.Message) {
	if known != "" && known != m.Identity {
		m.DiskReplaced = true
		return
	}
	if registered := m.State.Identities[message.GetFrom()]; registered != "" && identity != registered {
		m.RejectedMessages++
		return
	}
	if m.isFromLeader(message) {
		m.electionElapsed = 0
	}
	voteBefore := m.vote()
	ignoreError(m.rawNode.Step(message)) // a message that is of no use, as one of a member that was removed
	if vote := m.vote(); vote != voteBefore && vote != raft.None {
		m.electionElapsed = 0
	}
}

// isFromLeader reports whether a message is one that a leader of this term or a later one sends.
func (m *Member) isFromLeader(message *raftpb.Message) bool {
	switch message.GetType() {
	case raftpb.MsgHeartbeat, raftpb.MsgApp, raftpb.MsgSnap:
		return message.GetTerm() >= m.rawNode.BasicStatus().GetTerm()
	}
	return false
}

// vote is the member that this one has voted for in its term.
func (m *Member) vote() uint64 { return m.rawNode.BasicStatus().GetVote() }

// ReportUnreachable says that messages to a member are lost.
func (m *Member) ReportUnreachable(id uint64) { m.rawNode.ReportUnreachable(id) }

// trackSnapshots notes the snapshots that leave, which may be lost on their way.
func (m *Member) trackSnapshots(messages []*raftpb.Message) {
	for _, message := range messages {
		if message.GetType() == raftpb.MsgSnap {
			m.snapshotsInFlight[message.GetTo()] = snapshotTimeoutElections * m.timing.ElectionTicks
		}
	}
}

// expireSnapshots reports snapshots as lost that have been under way for long.
//
// It guards against a member that stays behind for good: raft sends nothing else to a member until the snapshot under
// way is reported as received or lost, and nobody reports one that the network lost.
func (m *Member) expireSnapshots() {
	for _, to := range slices.Sorted(maps.Keys(m.snapshotsInFlight)) {
		m.snapshotsInFlight[to]--
		if m.snapshotsInFlight[to] <= 0 {
			delete(m.snapshotsInFlight, to)
			m.rawNode.ReportSnapshot(to, raft.SnapshotFailure)
		}
	}
}
