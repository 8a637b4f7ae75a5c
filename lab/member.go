package lab

import (
	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/raftlog"
)

// registerEvery is the ticks between two attempts of a member to register with the group.
const registerEvery = 20

// member is a member of the group with its process and its disk.
type member struct {
	*cluster.Member
	id       uint64
	disk     *disk
	up       bool
	busy     int // until when the disk or a stall holds it
	slow     bool
	starts   uint64
	asked    map[uint64]func(number uint64, ok bool) // reads under way
	proposed map[string]*proposal
	early    cluster.Version // planted: told before it is agreed
}

// runs says whether a member's process is up and not held by its disk or a stall.
func (w *World) runs(m *member) bool { return m.up && w.now >= m.busy }

// start begins a member's process with what its disk has.
func (w *World) start(m *member) {
	m.starts++
	var voters []uint64
	for id := range uint64(w.set.Members) {
		voters = append(voters, id+1)
	}
	seed := w.set.Seed*1000 + m.id*100 + m.starts
	started, first, err := cluster.Start(m.id, m.disk.load(), voters, cluster.NewState(nil), w.set.Timing, seed)
	if err != nil {
		w.violated("member %d does not start: %v", m.id, err)
		return
	}
	m.disk.save(first)
	m.Member, m.up, m.busy = started, true, 0
	m.asked, m.proposed = map[uint64]func(uint64, bool){}, map[string]*proposal{}
	w.note("start %d", m.id)
}

// crash ends a member's process. What was not synced is lost, and so are the answers to its reads.
func (w *World) crash(m *member) {
	if !m.up {
		return
	}
	w.note("crash %d", m.id)
	m.up, m.disk.late, m.early = false, nil, cluster.Version{}
	for _, answer := range m.asked {
		answer(0, false)
	}
	m.asked = nil
}

// restartAfter starts a member that has crashed some ticks from now, unless it is up by then.
func (w *World) restartAfter(ticks int, m *member) {
	w.after(ticks, func() {
		if !m.up {
			w.start(m)
		}
	})
}

// turn has a member act and carries what it sends.
func (w *World) turn(m *member) {
	messages, applied, reads, err := m.Turn(func(b raftlog.Batch) error { return w.save(m, b) })
	if err != nil {
		w.crash(m)
		w.restartAfter(1+w.chance.IntN(4*w.set.Timing.Election), m)
		return
	}
	for _, message := range messages {
		w.send(m, message)
	}
	for _, done := range applied {
		w.noteApplied(m, done)
	}
	for _, r := range reads {
		if answer := m.asked[r.ID]; answer != nil {
			delete(m.asked, r.ID)
			answer(m.State.Current().Number, true)
		}
	}
	w.checkLeader(m)
	if !m.Registered() && m.Leader() != 0 && w.now%registerEvery == int(m.id) {
		m.Propose(m.RegisterCommand())
	}
}
