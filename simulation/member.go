package simulation

import (
	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/raftlog"
)

// registerEvery is the ticks between two attempts of a member to register with the group.
const registerEvery = 20

// member is a member of the group with its process and its disk.
type member struct {
	*cluster.Member
	id               uint64
	disk             *disk
	up               bool
	busyUntil        int // until when the disk or a stall holds it
	slowDisk         bool
	incarnation      uint64
	pendingReads     map[uint64]func(number uint64, ok bool) // reads under way
	pendingProposals map[string]*proposal
	uncommitted      cluster.Version // planted: told before it is agreed
}

// isResponsive says whether a member's process is up and not held by its disk or a stall.
func (w *world) isResponsive(m *member) bool { return m.up && w.now >= m.busyUntil }

// startMember begins a member's process with what its disk has.
func (w *world) startMember(m *member) {
	m.incarnation++
	var voters []uint64
	for id := range uint64(w.setup.Members) {
		voters = append(voters, id+1)
	}
	seed := w.setup.Seed*1000 + m.id*100 + m.incarnation
	started, first, err := cluster.Start(m.id, m.disk.load(), voters, cluster.NewState(plainText{}), w.setup.Timing, seed)
	if err != nil {
		w.addViolation("member %d does not start: %v", m.id, err)
		return
	}
	m.disk.write(first)
	m.Member, m.up, m.busyUntil = started, true, 0
	m.pendingReads, m.pendingProposals = map[uint64]func(uint64, bool){}, map[string]*proposal{}
	w.trace("start %d", m.id)
}

// crashMember ends a member's process. What was not synced is lost, and so are the answers to its reads.
func (w *world) crashMember(m *member) {
	if !m.up {
		return
	}
	w.trace("crash %d", m.id)
	m.up, m.disk.unsynced, m.uncommitted = false, nil, cluster.Version{}
	for _, answer := range m.pendingReads {
		answer(0, false)
	}
	m.pendingReads = nil
}

// restartAfter starts a member that has crashed some ticks from now, unless it is up by then.
func (w *world) restartAfter(ticks int, m *member) {
	w.schedule(ticks, func() {
		if !m.up {
			w.startMember(m)
		}
	})
}

// advance has a member act and carries what it sends.
func (w *world) advance(m *member) {
	messages, applied, reads, err := m.Advance(func(b raftlog.Batch) error { return w.saveToDisk(m, b) })
	if err != nil {
		w.crashMember(m)
		w.restartAfter(1+w.rng.IntN(4*w.setup.Timing.ElectionTicks), m)
		return
	}
	for _, message := range messages {
		w.send(m, message)
	}
	for _, done := range applied {
		w.recordApplied(m, done)
	}
	for _, r := range reads {
		if answer := m.pendingReads[r.ID]; answer != nil {
			delete(m.pendingReads, r.ID)
			answer(m.State.Current().Number, true)
		}
	}
	w.checkOneLeaderPerTerm(m)
	if !m.Registered() && m.Leader() != 0 && w.now%registerEvery == int(m.id) {
		m.Propose(m.RegisterCommand())
	}
}
