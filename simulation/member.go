package simulation

import (
	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/raftlog"
)

// registerIntervalTicks is the number of ticks between two attempts of a member to register with the group.
const registerIntervalTicks = 20

// member is a simulated member of the group: its process and its disk.
type member struct {
	*cluster.Member // state machine of the current or the last process
	id              uint64
	disk            *disk
	up              bool // the process is running
	busyUntil       int  // tick until which a save or a stall blocks the process
	slowDisk        bool
	incarnation     uint64 // number of processes started so far

	pendingReads     map[uint64]readCallback // by id of the read
	pendingProposals map[string]*proposal    // by client
	uncommitted      cluster.Version         // published before commit; only with BeforeCommit
}

// readCallback is called with the result of a read. If ok is false, the read returned no version.
type readCallback func(version uint64, ok bool)

// isResponsive reports whether a member's process is running and not blocked by its disk or a stall.
func (w *world) isResponsive(m *member) bool { return m.up && w.now >= m.busyUntil }

// startMember starts a member's process from the state on its disk.
func (w *world) startMember(m *member) {
	m.incarnation++
	var voters []uint64
	for id := range uint64(w.setup.Members) {
		voters = append(voters, id+1)
	}
	seed := w.setup.Seed*1000 + m.id*100 + m.incarnation
	started, first, err := cluster.Start(m.id, m.disk.load(), voters, cluster.NewState(plainText{}), w.setup.Timing, seed)
	if err != nil {
		w.addViolation(MembersStart, "member %d failed to start: %v", m.id, err)
		return
	}
	m.disk.write(first)
	m.Member = started
	m.up = true
	m.busyUntil = 0
	m.pendingReads = map[uint64]readCallback{}
	m.pendingProposals = map[string]*proposal{}
	w.trace("start %d", m.id)
}

// crashMember terminates a member's process. Unsynced batches are lost, and pending reads end without a version.
func (w *world) crashMember(m *member) {
	if !m.up {
		return
	}
	w.trace("crash %d", m.id)
	m.up = false
	m.disk.unsynced = nil
	m.uncommitted = cluster.Version{}
	for _, respond := range m.pendingReads {
		respond(0, false)
	}
	m.pendingReads = nil
}

// restartAfter starts a crashed member after a number of ticks, unless it is up by then.
func (w *world) restartAfter(ticks int, m *member) {
	w.schedule(ticks, func() {
		if !m.up {
			w.startMember(m)
		}
	})
}

// advance performs the pending work of a member's state machine: it saves, sends messages, applies commands and
// completes reads.
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
		if respond := m.pendingReads[read.ID]; respond != nil {
			delete(m.pendingReads, read.ID)
			respond(m.State.Current().Number, true)
		}
	}
	w.checkOneLeaderPerTerm(m)
	if !m.Registered() && m.Leader() != 0 && w.now%registerIntervalTicks == int(m.id) {
		m.Propose(m.RegisterCommand())
	}
}

// recordApplied records that a member has applied an entry, and returns the result to the operator if the proposal was
// submitted through this member.
func (w *world) recordApplied(m *member, applied cluster.AppliedCommand) {
	w.checkEntry(m, applied)
	w.history.recordApplied(applied)
	w.trace("apply %d %d", m.id, applied.Index)
	if createsVersion(applied) {
		w.measureCommit(applied.Result.Version)
	}
	pending := m.pendingProposals[applied.Command.Client]
	if pending != nil && pending.command.Seq == applied.Command.Seq {
		delete(m.pendingProposals, applied.Command.Client)
		w.recordResult(pending, applied.Result)
	}
}

// createsVersion reports whether an entry creates a new version of the configuration.
func createsVersion(applied cluster.AppliedCommand) bool {
	kind := applied.Command.Kind
	return applied.Result.Rejected == "" && (kind == cluster.CommandPut || kind == cluster.CommandRollBack)
}
