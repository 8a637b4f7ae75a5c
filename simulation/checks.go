package simulation

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/anishathalye/porcupine"

	"harehook.dev/harehook/cluster"
)

const maxSearch = 20 * time.Second // for an order that explains a history: past that the run says nothing of it

// record adds what happens to the digest of the run.
func (w *World) record(format string, args ...any) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d ", w.digest, w.now)
	fmt.Fprintf(h, format, args...)
	w.digest = h.Sum64()
}

// addViolation adds a violation, which ends the run.
func (w *World) addViolation(format string, args ...any) {
	w.outcome.Violations = append(w.outcome.Violations, fmt.Sprintf("tick %d: ", w.now)+fmt.Sprintf(format, args...))
}

// recordApplied checks that an entry is applied alike at all members, and answers the operator who proposed it.
func (w *World) recordApplied(m *member, done cluster.AppliedCommand) {
	key := fmt.Sprint(done.Command, done.Result)
	if was, known := w.appliedEntry[done.Index]; known && was != key {
		w.addViolation("entry %d is applied as %s at member %d, as %s elsewhere", done.Index, key, m.id, was)
	}
	w.appliedEntry[done.Index] = key
	if _, known := w.firstResult[done.Command.Client]; !known {
		w.firstResult[done.Command.Client] = done.Result
	}
	w.record("apply %d %d", m.id, done.Index)
	if done.Result.Rejected == "" && (done.Command.Kind == cluster.CommandPut || done.Command.Kind == cluster.CommandRollBack) {
		w.recordAgreed(done.Result.Version)
	}
	if p := m.pendingProposals[done.Command.Client]; p != nil && p.command.Seq == done.Command.Seq {
		delete(m.pendingProposals, done.Command.Client)
		w.recordResult(p, done.Result)
	}
}

// recordAgreed notes when a version was agreed, and how long none was since a leader was lost.
func (w *World) recordAgreed(number uint64) {
	if _, known := w.agreedAt[number]; known {
		return
	}
	w.agreedAt[number] = w.now
	if w.leaderFailedAt >= 0 && w.now > w.leaderFailedAt {
		w.outcome.Gap = append(w.outcome.Gap, w.now-w.leaderFailedAt)
		w.leaderFailedAt = -1
	}
}

// checkLeader checks that no term has two leaders.
func (w *World) checkLeader(m *member) {
	if !m.IsLeader() {
		return
	}
	term := m.Status().Term
	if other, known := w.leaderOfTerm[term]; known && other != m.id {
		w.addViolation("members %d and %d lead in term %d", other, m.id, term)
	}
	w.leaderOfTerm[term] = m.id
}

// observe sees what can only be seen over all members.
func (w *World) observe() {
	w.observeLeader()
	w.observeSidecars()
}

// observeLeader notes when the leader is lost.
func (w *World) observeLeader() {
	lead := uint64(0)
	for _, m := range w.members {
		if m.up && m.IsLeader() {
			lead = m.id
		}
	}
	if w.lastLeader != 0 && !w.members[w.lastLeader-1].up && w.leaderFailedAt < 0 {
		w.leaderFailedAt = w.now
	}
	if lead != 0 {
		w.lastLeader = lead
	}
}

// observeSidecars notes when all sidecars hold the newest version.
func (w *World) observeSidecars() {
	newest := uint64(0)
	for number := range w.agreedAt {
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
	at := w.agreedAt[newest]
	if at < 0 {
		return // noted before
	}
	w.outcome.Converged = append(w.outcome.Converged, w.now-at)
	w.agreedAt[newest] = -1
	if w.outcome.Settled < 0 && w.now >= w.calmFrom && at >= w.calmFrom {
		w.outcome.Settled = w.now - w.calmFrom
	}
}

// finish checks what can be checked at the end only.
func (w *World) finish() {
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
func (w *World) checkHistory() {
	history := w.answeredHistory()
	if len(w.outcome.Violations) > 0 {
		return
	}
	if porcupine.CheckOperationsTimeout(register, history, maxSearch) == porcupine.Illegal {
		w.addViolation("the configuration's history is not linearizable")
	}
}

// answeredHistory is the history without what says nothing. A proposal whose answer never came was agreed, or not: the
// log says which. What had no effect and no answer would only make the search for an order long.
func (w *World) answeredHistory() []porcupine.Operation {
	history := w.history[:0:0]
	for _, op := range w.history {
		if op.Return < 0 {
			r, applied := w.firstResult[clientName(op.ClientId)]
			if !applied || !op.Input.(input).put {
				continue
			}
			op.Return = int64(2*w.setup.Ticks + 2)
			op.Output = output{number: r.Version, ok: r.Rejected == "", known: true}
		}
		if o := op.Output.(output); op.Input.(input).put || o.ok {
			history = append(history, op)
		}
	}
	return history
}

// checkSidecars checks that sidecars hold agreed versions only.
func (w *World) checkSidecars() {
	for _, number := range w.sidecars {
		if _, agreed := w.agreedAt[number]; !agreed && number > 0 {
			w.addViolation("a sidecar holds version %d, which was never agreed", number)
			return
		}
	}
}
