package lab

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/anishathalye/porcupine"

	"harehook.dev/harehook/cluster"
)

const searchMost = 20 * time.Second // for an order that explains a history: past that the run says nothing of it

// note adds what happens to the print of the run.
func (w *World) note(format string, args ...any) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d ", w.print, w.now)
	fmt.Fprintf(h, format, args...)
	w.print = h.Sum64()
}

// violated adds a violation, which ends the run.
func (w *World) violated(format string, args ...any) {
	w.out.Violations = append(w.out.Violations, fmt.Sprintf("tick %d: ", w.now)+fmt.Sprintf(format, args...))
}

// noteApplied checks that an entry is applied alike at all members, and answers the operator who proposed it.
func (w *World) noteApplied(m *member, done cluster.Done) {
	key := fmt.Sprint(done.Command, done.Result)
	if was, known := w.applied[done.Index]; known && was != key {
		w.violated("entry %d is applied as %s at member %d, as %s elsewhere", done.Index, key, m.id, was)
	}
	w.applied[done.Index] = key
	if _, known := w.became[done.Command.Client]; !known {
		w.became[done.Command.Client] = done.Result
	}
	w.note("apply %d %d", m.id, done.Index)
	if done.Result.Refused == "" && (done.Command.Kind == cluster.Put || done.Command.Kind == cluster.RollBack) {
		w.noteAgreed(done.Result.Number)
	}
	if p := m.proposed[done.Command.Client]; p != nil && p.command.Seq == done.Command.Seq {
		delete(m.proposed, done.Command.Client)
		w.answered(p, done.Result)
	}
}

// noteAgreed notes when a version was agreed, and how long none was since a leader was lost.
func (w *World) noteAgreed(number uint64) {
	if _, known := w.agreedAt[number]; known {
		return
	}
	w.agreedAt[number] = w.now
	if w.lostAt >= 0 && w.now > w.lostAt {
		w.out.Gap = append(w.out.Gap, w.now-w.lostAt)
		w.lostAt = -1
	}
}

// checkLeader checks that no term has two leaders.
func (w *World) checkLeader(m *member) {
	if !m.Leads() {
		return
	}
	term := m.Standing().Term
	if other, known := w.leaders[term]; known && other != m.id {
		w.violated("members %d and %d lead in term %d", other, m.id, term)
	}
	w.leaders[term] = m.id
}

// watch sees what can only be seen over all members.
func (w *World) watch() {
	w.watchLeader()
	w.watchSidecars()
}

// watchLeader notes when the leader is lost.
func (w *World) watchLeader() {
	lead := uint64(0)
	for _, m := range w.members {
		if m.up && m.Leads() {
			lead = m.id
		}
	}
	if w.lead != 0 && !w.members[w.lead-1].up && w.lostAt < 0 {
		w.lostAt = w.now
	}
	if lead != 0 {
		w.lead = lead
	}
}

// watchSidecars notes when all sidecars hold the newest version.
func (w *World) watchSidecars() {
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
	w.out.Held = append(w.out.Held, w.now-at)
	w.agreedAt[newest] = -1
	if w.out.Settled < 0 && w.now >= w.calmAt && at >= w.calmAt {
		w.out.Settled = w.now - w.calmAt
	}
}

// finish checks what can be checked at the end only.
func (w *World) finish() {
	w.checkHistory()
	w.checkSidecars()
	for _, m := range w.members {
		if m.up {
			w.out.Entries = max(w.out.Entries, int(m.Standing().Entries))
		}
	}
	w.out.Print = w.print
}

// checkHistory checks that some order of the operations explains what operators saw.
func (w *World) checkHistory() {
	history := w.answeredHistory()
	if len(w.out.Violations) > 0 {
		return
	}
	if porcupine.CheckOperationsTimeout(register, history, searchMost) == porcupine.Illegal {
		w.violated("the configuration's history is not linearizable")
	}
}

// answeredHistory is the history without what says nothing. A proposal whose answer never came was agreed, or not: the
// log says which. What had no effect and no answer would only make the search for an order long.
func (w *World) answeredHistory() []porcupine.Operation {
	history := w.history[:0:0]
	for _, op := range w.history {
		if op.Return < 0 {
			r, applied := w.became[clientName(op.ClientId)]
			if !applied || !op.Input.(input).put {
				continue
			}
			op.Return = int64(2*w.set.Ticks + 2)
			op.Output = output{number: r.Number, ok: r.Refused == "", known: true}
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
			w.violated("a sidecar holds version %d, which was never agreed", number)
			return
		}
	}
}
