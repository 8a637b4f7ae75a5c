package cluster

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Elections are timed here and not by the raft library, whose election timeouts use the system's random source: runs
// with the same seed must be identical. The library's own ticks are used only while this member is the leader.

// snapshotTimeoutElections is the number of election timeouts (Timing.ElectionTicks each) after which a snapshot in
// flight counts as lost.
const snapshotTimeoutElections = 4

// Tick advances the member's time by one tick.
func (m *Member) Tick() {
	if m.role == raft.StateLeader {
		m.rawNode.Tick() // a leader that does not reach a majority within an election timeout steps down
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
	ignoreError(m.rawNode.Campaign()) // a member that must not campaign, such as a learner, keeps waiting
}

// resetElectionTimeout sets the election timeout to a random value between one and two times Timing.ElectionTicks, so
// that members seldom campaign at the same time.
func (m *Member) resetElectionTimeout() {
	m.randomCounter++
	hash := fnv.New64a()
	fmt.Fprint(hash, m.electionSeed, " ", m.randomCounter, " ", m.ID)
	random := mixBits(hash.Sum64())
	m.electionTimeout = m.timing.ElectionTicks + int(random%uint64(m.timing.ElectionTicks))
}

// mixBits spreads the differences between hashes of similar texts over all bits (a step of SplitMix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>27
}

// Step processes a message from another member. The senderIdentity is that of the sender's disk. The receiverIdentity
// is the one that is registered for this member in the sender's state; it is empty if none is registered.
//
// Step guards against a disk that was lost and created anew: the member on it has forgotten its votes and
// acknowledgements, and could vote twice in a term. Messages from a member whose number is registered for another disk
// are dropped and counted. The member on the new disk finds out from the others' messages that another disk is
// registered for it, and stops. A disk that was restored from a copy of itself has the same identity and is not
// detected.
func (m *Member) Step(senderIdentity, receiverIdentity string, message *raftpb.Message) {
	if receiverIdentity != "" && receiverIdentity != m.Identity {
		m.DiskReplaced = true
		return
	}
	if registered := m.State.Identities[message.GetFrom()]; registered != "" && senderIdentity != registered {
		m.RejectedMessages++
		return
	}
	if m.isFromLeader(message) {
		m.electionElapsed = 0
	}
	voteBefore := m.vote()
	ignoreError(m.rawNode.Step(message)) // the library rejects messages of no use, such as one from a removed member
	if vote := m.vote(); vote != voteBefore && vote != raft.None {
		m.electionElapsed = 0
	}
}

// isFromLeader reports whether a message was sent by a leader of this term or a later one.
func (m *Member) isFromLeader(message *raftpb.Message) bool {
	switch message.GetType() {
	case raftpb.MsgHeartbeat, raftpb.MsgApp, raftpb.MsgSnap:
		return message.GetTerm() >= m.rawNode.BasicStatus().GetTerm()
	}
	return false
}

// vote returns the member that this one voted for in the current term.
func (m *Member) vote() uint64 { return m.rawNode.BasicStatus().GetVote() }

// ReportUnreachable reports that a message to a member was lost.
func (m *Member) ReportUnreachable(id uint64) { m.rawNode.ReportUnreachable(id) }

// trackSnapshots records the snapshots that are sent, since the network may lose them.
func (m *Member) trackSnapshots(messages []*raftpb.Message) {
	for _, message := range messages {
		if message.GetType() == raftpb.MsgSnap {
			m.snapshotsInFlight[message.GetTo()] = snapshotTimeoutElections * m.timing.ElectionTicks
		}
	}
}

// expireSnapshots reports snapshots as lost whose timeout has expired.
//
// It guards against a member that never catches up: raft sends a member nothing else until the snapshot in flight is
// reported as received or lost, and no one reports a snapshot that the network lost.
func (m *Member) expireSnapshots() {
	for _, to := range slices.Sorted(maps.Keys(m.snapshotsInFlight)) {
		m.snapshotsInFlight[to]--
		if m.snapshotsInFlight[to] <= 0 {
			delete(m.snapshotsInFlight, to)
			m.rawNode.ReportSnapshot(to, raft.SnapshotFailure)
		}
	}
}
