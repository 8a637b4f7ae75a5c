package followers

import (
	"fmt"
	"slices"
	"time"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// member is a member of the group. Its records survive a crash, its server does not.
type member struct {
	world       *world
	name        string
	store       *records.Store
	applied     int                // number of applied log entries
	historyFrom uint64             // revision since which the store has all changes
	server      *configsync.Server // nil while the process is down
	sessions    []*session         // open at the member's end
	partitioned bool               // no messages pass between the member and any follower
	lagging     bool               // it receives no entries
	disturbedAt time.Duration      // time of the last fault that affected it
}

// start starts a process, which keeps the records of the previous one.
func (m *member) start() {
	m.server = configsync.NewServer(m.name, m.source(), limits(m.world.setup.Planted), m.world.clock.now())
	m.catchUp(len(m.world.log.entries))
}

// source returns the records for followers, with the planted fault.
func (m *member) source() records.Source {
	return &plantedSource{Store: m.store, planted: m.world.setup.Planted, member: m.name}
}

// markDisturbed excludes the member's followers from the delay checks of earlier commits.
func (m *member) markDisturbed() { m.disturbedAt = m.world.clock.elapsed }

// crash ends the process. The followers' connections are reset. If silent is true, the machine fails with the process,
// and the connections break without notice to the followers.
func (m *member) crash(silent bool) {
	m.markDisturbed()
	m.server = nil
	for _, s := range m.sessions {
		s.openAtMember = false
		s.toFollower.broken = s.toFollower.broken || silent
		s.toFollower.send(func() { s.follower.connectionLost(s) })
	}
	m.sessions = nil
}

// catchUp applies log entries until count of them are applied, and sends the changes to followers.
func (m *member) catchUp(count int) {
	if m.server == nil || m.lagging {
		return
	}
	for ; m.applied < count; m.applied++ {
		m.apply(m.world.log.entries[m.applied])
	}
	m.sendAll()
}

// apply applies an entry. It panics if the store rejects an agreed transaction, because the records would then no
// longer be a function of the log.
func (m *member) apply(e entry) {
	change, err := m.store.Apply(e.revision, e.transaction)
	if err != nil {
		panic(fmt.Sprintf("%s cannot apply the agreed transaction at revision %d: %v", m.name, e.revision, err))
	}
	m.server.Committed(m.world.clock.now(), change.Revision)
}

// restoreFrom restores a snapshot of another member's records, as for a member that is too far behind to replay
// entries.
func (m *member) restoreFrom(other *member) {
	if m.server == nil || other.applied <= m.applied {
		return
	}
	if err := m.store.Restore(other.store.Snapshot()); err != nil {
		panic(fmt.Sprintf("%s cannot restore a snapshot of %s: %v", m.name, other.name, err))
	}
	m.applied = other.applied
	m.historyFrom = other.historyFrom
	m.server.Committed(m.world.clock.now(), m.store.Revision())
	m.sendAll()
}

// dropHistory discards the store's history of changes, as hours of further changes would.
func (m *member) dropHistory() {
	m.markDisturbed()
	m.store.DropHistory()
	m.historyFrom = m.store.Revision()
}

// sendAll sends the pending responses of all sessions.
func (m *member) sendAll() {
	for _, s := range slices.Clone(m.sessions) { // a session that ends is removed from the list
		s.sendPending()
	}
}

// accept opens the member's end of a follower's session. It reports false if the process is down or refuses the stream.
func (m *member) accept(s *session) (accepted bool) {
	if m.server == nil {
		return false
	}
	stream, err := m.server.Open(m.world.clock.now())
	if err != nil {
		return false
	}
	s.server = m.server
	s.stream = stream
	s.openAtMember = true
	m.sessions = append(m.sessions, s)
	return true
}
