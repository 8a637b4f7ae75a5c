package simulation

import (
	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/raftlog"
)

// registerEvery is the ticks between two attempts of a member to register with the group.
const registerEvery = 20

// member is a member of the group with its process and its disk.
type member struct {
	*cluster.Member // of the process that runs, or ran last
	id              uint64
	disk            *disk
	up              bool // its process runs
	busyUntil       int  // tick: until then the disk or a stall holds it
	slowDisk        bool
	incarnation     uint64 // counts its processes

	pendingReads     map[uint64]readAnswer // by id of the read
	pendingProposals map[string]*proposal  // by client
	uncommitted      cluster.Version       // planted: published before it is agreed
}

// readAnswer takes the answer to a read: the version, or that there is none.
type readAnswer func(version uint64, ok bool)

// isResponsive tells whether a member's process is up and not held by its disk or a stall.
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
		w.addViolation(MembersStart, "member %d does not start: %v", m.id, err)
		return
	}
	m.disk.write(first)
	m.Member = started
	m.up = true
	m.busyUntil = 0
	m.pendingReads = map[uint64]readAnswer{}
	m.pendingProposals = map[string]*proposal{}
	w.trace("start %d", m.id)
}

// crashMember ends a member's process. What was not synced is lost, and so are the answers to its reads.
func (w *world) crashMember(m *member) {
	if !m.up {
		return
	}
	w.trace("crash %d", m.id)
	m.up = false
	m.disk.unsynced = nil
	m.uncommitted = cluster.Version{}
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

// advance has a member do what its machine is ready for: save, send, apply, answer reads.
func (w *world) advance(m *member) {
	messages, applied, reads, err := m.Advance(func(batch raftlog.Batch) error { return w.saveToDisk(m, batch) })
	if err != nil {
		w.crashMember(m)
		w.restartAfter(1+w.rng.IntN(4*w.setup.Timing.ElectionTicks), m)
		return
	}
	for _, message := range messages {
		w.send(m, message)
	}
	for _, command := range applied {
		w.recordApplied(m, command)
	}
	for _, read := range reads {
		if answer := m.pendingReads[read.ID]; answer != nil {
			delete(m.pendingReads, read.ID)
			answer(m.State.Current().Number, true)
		}
	}
	w.checkOneLeaderPerTerm(m)
	if !m.Registered() && m.Leader() != 0 && w.now%registerEvery == int(m.id) {
		m.Propose(m.RegisterCommand())
	}
}

// recordApplied notes that a member has applied an entry, and answers the operator who proposed it through this member.
func (w *world) recordApplied(m *member, applied cluster.AppliedCommand) {
	w.checkEntry(m, applied)
	w.history.recordApplied(applied)
	w.trace("apply %d %d", m.id, applied.Index)
	if makesVersion(applied) {
		w.measureCommit(applied.Result.Version)
	}
	pending := m.pendingProposals[applied.Command.Client]
	if pending != nil && pending.command.Seq == applied.Command.Seq {
		delete(m.pendingProposals, applied.Command.Client)
		w.recordResult(pending, applied.Result)
	}
}

// makesVersion tells whether an entry has made a new version of the configuration.
func makesVersion(applied cluster.AppliedCommand) bool {
	kind := applied.Command.Kind
	return applied.Result.Rejected == "" && (kind == cluster.CommandPut || kind == cluster.CommandRollBack)
}
