package simulation

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"harehook.dev/harehook/cluster"
)

const (
	maxProposeAttempts = 6 // after which an operator gives up
	staleBase          = 5 // one in so many proposals is by an operator who did not see the last change
)

// proposal is a change of configuration that an operator waits for.
type proposal struct {
	command    cluster.Command
	proposedAt int
	operation  int // its place in the history
	attempts   int
}

// runOperator has one operator propose changes and read, through any member; what gets no answer is asked again elsewhere.
func (w *world) runOperator() {
	every := w.setup.ProposeEvery
	if every == 0 || w.now < 2*w.setup.Timing.ElectionTicks {
		return
	}
	if w.now%every == 0 && w.pendingProposal == nil {
		w.propose()
	}
	if p := w.pendingProposal; p != nil && (w.now-p.proposedAt)%(2*w.setup.Timing.ElectionTicks) == 0 && w.now > p.proposedAt {
		if p.attempts++; p.attempts > maxProposeAttempts {
			w.outcome.Unknown++
			w.pendingProposal = nil // the operator gives up and does not know
			return
		}
		w.submit(p) // the answer may be lost: the same proposal again, anywhere
	}
	if w.now%(every/2+1) == 0 {
		w.readVersion()
	}
}

// propose begins a proposal on the newest version, or on the one before.
func (w *world) propose() {
	w.clientCount++
	base := w.newestVersion()
	if w.rng.IntN(staleBase) == 0 && base > 0 {
		base--
	}
	c := cluster.Command{
		Kind:   cluster.CommandPut,
		Client: clientName(w.clientCount),
		Seq:    1,
		Base:   base,
		Text:   fmt.Sprint("text ", w.clientCount),
		By:     "operator",
	}
	w.pendingProposal = &proposal{command: c, proposedAt: w.now, operation: w.recordCall(operationInput{isWrite: true, base: base})}
	w.submit(w.pendingProposal)
}

// clientName is the name by which a client of the history proposes.
func clientName(client int) string { return fmt.Sprint("operator-", client) }

// recordCall adds an operation of the newest client to the history and returns its place there.
func (w *world) recordCall(in operationInput) (at int) {
	w.history = append(w.history, porcupine.Operation{ClientId: w.clientCount, Input: in, Call: int64(2 * w.now), Return: -1})
	return len(w.history) - 1
}

// recordAnswer notes what became of an operation.
func (w *world) recordAnswer(at int, out operationOutput) {
	w.history[at].Return = int64(2*w.now + 1)
	w.history[at].Output = out
}

// readVersion has an operator read the newest version through any member.
func (w *world) readVersion() {
	m := w.members[w.rng.IntN(len(w.members))]
	if !w.isResponsive(m) {
		return
	}
	w.clientCount++
	at := w.recordCall(operationInput{})
	answer := func(number uint64, ok bool) { w.recordAnswer(at, operationOutput{number: number, ok: ok}) }
	if w.setup.Planted == StaleRead {
		answer(m.State.Current().Number, true)
		return
	}
	id, err := m.RequestReadIndex()
	if err != nil {
		answer(0, false)
		return
	}
	m.pendingReads[id] = answer
	w.advance(m)
}

// newestVersion is the newest version that any member that is up knows: what an operator sees who looks around.
func (w *world) newestVersion() (number uint64) {
	for _, m := range w.members {
		if m.up {
			number = max(number, m.State.Current().Number)
		}
	}
	return number
}

// submit has any member take a proposal.
func (w *world) submit(p *proposal) {
	m := w.members[w.rng.IntN(len(w.members))]
	if !w.isResponsive(m) {
		return
	}
	if m.Propose(p.command) == nil {
		m.pendingProposals[p.command.Client] = p
		if w.setup.Planted == BeforeCommit && m.IsLeader() {
			m.uncommitted = cluster.Version{Number: m.Status().Applied + 1, Text: p.command.Text}
		}
	}
	w.advance(m)
}

// recordResult ends the proposal that the operator waits for with its result.
func (w *world) recordResult(p *proposal, r cluster.Result) {
	if w.pendingProposal != p {
		return
	}
	w.pendingProposal = nil
	w.recordAnswer(p.operation, operationOutput{number: r.Version, ok: r.Rejected == "", answered: true})
	if r.Rejected == "" {
		w.outcome.Agreed++
		w.outcome.Commit = append(w.outcome.Commit, w.now-p.proposedAt)
	} else {
		w.outcome.Rejected++
	}
}
