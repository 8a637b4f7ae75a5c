package simulation

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/anishathalye/porcupine"

	"harehook.dev/harehook/cluster"
)

const maxSearch = 20 * time.Second // for an order that explains a history: past that the run says nothing of it

// trace adds what happens to the digest of the run.
func (w *world) trace(format string, args ...any) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d ", w.digest, w.now)
	fmt.Fprintf(h, format, args...)
	w.digest = h.Sum64()
}

// addViolation adds a violation, which ends the run.
func (w *world) addViolation(format string, args ...any) {
	w.outcome.Violations = append(w.outcome.Violations, fmt.Sprintf("tick %d: ", w.now)+fmt.Sprintf(format, args...))
}

// recordApplied checks that an entry is applied alike at all members, and answers the operator who proposed it.
func (w *world) recordApplied(m *member, done cluster.AppliedCommand) {
	key := fmt.Sprint(done.Command, done.Result)
	if was, known := w.appliedEntry[done.Index]; known && was != key {
		w.addViolation("entry %d is applied as %s at member %d, as %s elsewhere", done.Index, key, m.id, was)
	}
	w.appliedEntry[done.Index] = key
	if _, known := w.firstResult[done.Command.Client]; !known {
		w.firstResult[done.Command.Client] = done.Result
	}
	w.trace("apply %d %d", m.id, done.Index)
	if done.Result.Rejected == "" && (done.Command.Kind == cluster.CommandPut || done.Command.Kind == cluster.CommandRollBack) {
		w.recordCommit(done.Result.Version)
	}
	if p := m.pendingProposals[done.Command.Client]; p != nil && p.command.Seq == done.Command.Seq {
		delete(m.pendingProposals, done.Command.Client)
		w.recordResult(p, done.Result)
	}
}

// recordCommit notes when a version was agreed, and how long none was since a leader was lost.
func (w *world) recordCommit(number uint64) {
	if _, known := w.commitTick[number]; known {
		return
	}
	w.commitTick[number] = w.now
	if w.leaderLostAt >= 0 && w.now > w.leaderLostAt {
		w.outcome.Gap = append(w.outcome.Gap, w.now-w.leaderLostAt)
		w.leaderLostAt = -1
	}
}

// checkOneLeaderPerTerm checks that no term has two leaders.
func (w *world) checkOneLeaderPerTerm(m *member) {
	if !m.IsLeader() {
		return
	}
	term := m.Status().Term
	if other, known := w.leaderOfTerm[term]; known && other != m.id {
		w.addViolation("members %d and %d lead in term %d", other, m.id, term)
	}
	w.leaderOfTerm[term] = m.id
}

// observeGroup sees what can only be seen over all members.
func (w *world) observeGroup() {
	w.observeLeader()
	w.observeSidecars()
}

// observeLeader notes when the leader is lost.
func (w *world) observeLeader() {
	lead := uint64(0)
	for _, m := range w.members {
		if m.up && m.IsLeader() {
			lead = m.id
		}
	}
	if w.lastLeader != 0 && !w.members[w.lastLeader-1].up && w.leaderLostAt < 0 {
		w.leaderLostAt = w.now
	}
	if lead != 0 {
		w.lastLeader = lead
	}
}

// observeSidecars notes when all sidecars hold the newest version.
func (w *world) observeSidecars() {
	newest := uint64(0)
	for number := range w.commitTick {
		newest = max(newest, number)
	}
	if newest == 0 {
		return
	}
	for _, number := range w.sidecars {
		if number < newest {
			return
		}
	}
	at := w.commitTick[newest]
	if at < 0 {
		return // noted before
	}
	w.outcome.Converged = append(w.outcome.Converged, w.now-at)
	w.commitTick[newest] = -1
	if w.outcome.Settled < 0 && w.now >= w.faultFreeFrom && at >= w.faultFreeFrom {
		w.outcome.Settled = w.now - w.faultFreeFrom
	}
}

// finish checks what can be checked at the end only.
func (w *world) finish() {
	w.checkHistory()
	w.checkSidecars()
	for _, m := range w.members {
		if m.up {
			w.outcome.Entries = max(w.outcome.Entries, int(m.Status().Entries))
		}
	}
	w.outcome.Fingerprint = w.digest
}

// checkHistory checks that some order of the operations explains what operators saw.
func (w *world) checkHistory() {
	history := w.answeredHistory()
	if len(w.outcome.Violations) > 0 {
		return
	}
	if porcupine.CheckOperationsTimeout(registerModel, history, maxSearch) == porcupine.Illegal {
		w.addViolation("the configuration's history is not linearizable")
	}
}

// answeredHistory is the history without what says nothing. A proposal whose answer never came was agreed, or not: the
// log says which. What had no effect and no answer would only make the search for an order long.
func (w *world) answeredHistory() []porcupine.Operation {
	history := w.history[:0:0]
	for _, op := range w.history {
		if op.Return < 0 {
			r, applied := w.firstResult[clientName(op.ClientId)]
			if !applied || !op.Input.(operationInput).isWrite {
				continue
			}
			op.Return = int64(2*w.setup.Ticks + 2)
			op.Output = operationOutput{number: r.Version, ok: r.Rejected == "", answered: true}
		}
		if o := op.Output.(operationOutput); op.Input.(operationInput).isWrite || o.ok {
			history = append(history, op)
		}
	}
	return history
}

// checkSidecars checks that sidecars hold agreed versions only.
func (w *world) checkSidecars() {
	for _, number := range w.sidecars {
		if _, agreed := w.commitTick[number]; !agreed && number > 0 {
			w.addViolation("a sidecar holds version %d, which was never agreed", number)
			return
		}
	}
}
