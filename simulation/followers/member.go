package followers

import (
	"fmt"
	"slices"
	"time"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// member is a member of the group: its records, which a crash leaves, and its part in telling followers.
type member struct {
	world       *world
	name        string
	store       *records.Store
	applied     int // entries of the log
	historyFrom uint64
	server      *configsync.Server // nil while it is down
	sessions    []*session
	partitioned bool          // no message passes between it and any follower
	lagging     bool          // it gets no entries
	disturbedAt time.Duration // when it was last disturbed
}

// start begins to serve, as after a crash.
func (m *member) start() {
	m.server = configsync.NewServer(m.name, m.source(), limits(m.world.setup.Planted), m.world.clock.now())
	m.catchUp(len(m.world.log.entries))
}

func (m *member) markDisturbed() { m.disturbedAt = m.world.clock.elapsed }

// crash ends its process. The followers' connections are reset, or, if the machine is lost with it, go silent.
func (m *member) crash(silent bool) {
	m.markDisturbed()
	m.server = nil
	for _, one := range m.sessions {
		one.openAtMember = false
		one.toFollower.broken = one.toFollower.broken || silent
		one.toFollower.send(func() { one.follower.connectionLost(one) })
	}
	m.sessions = nil
}

// catchUp applies the entries of the log up to a place.
func (m *member) catchUp(to int) {
	if m.server == nil || m.lagging {
		return
	}
	for ; m.applied < to; m.applied++ {
		one := m.world.log.entries[m.applied]
		change, err := m.store.Apply(one.revision, one.transaction)
		if err != nil {
			panic(fmt.Sprintf("%s can't apply an agreed transaction: %v", m.name, err)) // the store is no function of the log
		}
		m.server.Committed(m.world.clock.now(), change)
	}
	m.sendAll()
}

// takeSnapshot brings a member that was far behind up to date with another one's records in place of entries.
func (m *member) takeSnapshot(from *member) {
	if m.server == nil || from.applied <= m.applied {
		return
	}
	if err := m.store.Restore(from.store.Snapshot()); err != nil {
		panic(fmt.Sprintf("%s can't restore a snapshot: %v", m.name, err))
	}
	m.applied, m.historyFrom = from.applied, from.historyFrom
	m.server.Committed(m.world.clock.now(), records.Change{Revision: m.store.Revision(), Reset: true})
	m.sendAll()
}

// dropHistory drops its history, as hours of changes would.
func (m *member) dropHistory() {
	m.markDisturbed()
	m.store.Forget()
	m.historyFrom = m.store.Revision()
}

func (m *member) sendAll() {
	for _, one := range slices.Clone(m.sessions) { // one that ends leaves the list
		one.sendPending()
	}
}

// accept takes a follower's connection.
func (m *member) accept(one *session) bool {
	stream, err := m.server.Open(m.world.clock.now())
	if err != nil {
		return false
	}
	one.server, one.stream, one.openAtMember = m.server, stream, true
	m.sessions = append(m.sessions, one)
	return true
}

// source is what followers are told of, with the faults that are planted in it.
func (m *member) source() records.Source {
	return &plantedSource{Store: m.store, planted: m.world.setup.Planted, other: m.name == "m1"}
}

// plantedSource is a store that may tell of its records what is not so.
type plantedSource struct {
	*records.Store
	planted Planted
	other   bool // this is the member whose contents are others
	asked   int
}

// Since is that of the store, but for planted faults.
func (s *plantedSource) Since(revision uint64, scope records.Scope) records.Delta {
	delta := s.Store.Since(revision, scope)
	s.asked++
	switch {
	case s.planted == PlantedFullScope:
		delta.Updates, delta.Available = nil, false
	case s.planted == PlantedMissingChange && s.asked%20 == 0 && len(delta.Updates) > 0:
		delta.Updates = delta.Updates[1:]
	}
	return delta
}

// InScope is that of the store, but for planted faults.
func (s *plantedSource) InScope(scope records.Scope) records.View {
	view := s.Store.InScope(scope)
	if s.planted == PlantedContents && s.other && len(view.Records) > 0 {
		view.Records = view.Records[1:]
	}
	return view
}
