package followers

import (
	"fmt"
	"slices"
	"time"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// member is a member of the group: its records, which a crash leaves, and its server, which a crash ends.
type member struct {
	world       *world
	name        string
	store       *records.Store
	applied     int                // entries of the log
	historyFrom uint64             // revision since which the store knows all changes
	server      *configsync.Server // nil while the process is down
	sessions    []*session         // that are open at this end
	partitioned bool               // no message passes between it and any follower
	lagging     bool               // it gets no entries
	disturbedAt time.Duration      // when a fault last concerned it
}

// start begins a process, as after a crash.
func (m *member) start() {
	m.server = configsync.NewServer(m.name, m.source(), limits(m.world.setup.Planted), m.world.clock.now())
	m.catchUp(len(m.world.log.entries))
}

// source is what followers receive, with the faults that are planted in it.
func (m *member) source() records.Source {
	return &plantedSource{Store: m.store, planted: m.world.setup.Planted, member: m.name}
}

func (m *member) markDisturbed() { m.disturbedAt = m.world.clock.elapsed }

// crash ends the process. The followers' connections are reset, or, if the machine is lost with it, go silent.
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

// catchUp applies the first entries of the log, up to a count.
func (m *member) catchUp(count int) {
	if m.server == nil || m.lagging {
		return
	}
	for ; m.applied < count; m.applied++ {
		m.apply(m.world.log.entries[m.applied])
	}
	m.sendAll()
}

// apply applies an entry. It panics where the store rejects what the group has agreed on: the records would then no
// longer be a function of the log.
func (m *member) apply(e entry) {
	change, err := m.store.Apply(e.revision, e.transaction)
	if err != nil {
		panic(fmt.Sprintf("%s can't apply the agreed transaction at revision %d: %v", m.name, e.revision, err))
	}
	m.server.Committed(m.world.clock.now(), change.Revision)
}

// restoreFrom brings a member that was far behind up to date with another one's records in place of entries.
func (m *member) restoreFrom(other *member) {
	if m.server == nil || other.applied <= m.applied {
		return
	}
	if err := m.store.Restore(other.store.Snapshot()); err != nil {
		panic(fmt.Sprintf("%s can't restore a snapshot of %s: %v", m.name, other.name, err))
	}
	m.applied = other.applied
	m.historyFrom = other.historyFrom
	m.server.Committed(m.world.clock.now(), m.store.Revision())
	m.sendAll()
}

// dropHistory forgets which records changed when, as hours of changes would.
func (m *member) dropHistory() {
	m.markDisturbed()
	m.store.DropHistory()
	m.historyFrom = m.store.Revision()
}

// sendAll sends on each session what its follower lacks.
func (m *member) sendAll() {
	for _, s := range slices.Clone(m.sessions) { // a session that ends leaves the list
		s.sendPending()
	}
}

// accept opens this end of a follower's session.
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
