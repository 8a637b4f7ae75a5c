package simulation

import (
	"fmt"

	"harehook.dev/harehook/cluster"
)

const (
	maxProposeAttempts = 6 // after which an operator gives up
	staleBaseEvery     = 5 // one in so many proposals is by an operator who did not see the last change
)

// operator proposes changes, one at a time.
type operator struct {
	pending *proposal // nil: none
}

// proposal is a change of configuration that the operator waits for.
type proposal struct {
	command    cluster.Command
	proposedAt int // tick
	operation  int // its index in the history
	attempts   int // after the first
}

// runOperator has the operator propose changes and read, through any member.
func (w *world) runOperator() {
	every := w.setup.ProposeEvery
	if every == 0 || w.now < 2*w.setup.Timing.ElectionTicks {
		return
	}
	if w.now%every == 0 && w.operator.pending == nil {
		w.propose()
	}
	if w.isProposalOverdue() && !w.repeatProposal() {
		return
	}
	if w.now%(every/2+1) == 0 {
		w.readVersion()
	}
}

// propose begins a proposal on the newest version, or on the one before.
func (w *world) propose() {
	base := w.newestVersion()
	if w.rng.IntN(staleBaseEvery) == 0 && base > 0 {
		base--
	}
	client, operation := w.history.begin(w.now, operationInput{isWrite: true, base: base})
	command := cluster.Command{
		Kind:   cluster.CommandPut,
		Client: clientName(client),
		Seq:    1,
		Base:   base,
		Text:   fmt.Sprint("text ", client),
		By:     "operator",
	}
	w.operator.pending = &proposal{command: command, proposedAt: w.now, operation: operation}
	w.submit(w.operator.pending)
}

// isProposalOverdue tells whether the pending proposal is to be tried again.
func (w *world) isProposalOverdue() bool {
	pending := w.operator.pending
	if pending == nil || w.now == pending.proposedAt {
		return false
	}
	retryEvery := 2 * w.setup.Timing.ElectionTicks
	return (w.now-pending.proposedAt)%retryEvery == 0
}

// repeatProposal submits the same proposal again, through any member, since its answer may be lost. After some attempts
// the operator gives up and does not know the outcome.
func (w *world) repeatProposal() (repeated bool) {
	pending := w.operator.pending
	pending.attempts++
	if pending.attempts > maxProposeAttempts {
		w.outcome.Unknown++
		w.operator.pending = nil
		return false
	}
	w.submit(pending)
	return true
}

// submit has any member take a proposal.
func (w *world) submit(p *proposal) {
	m := w.drawMember()
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
func (w *world) recordResult(p *proposal, result cluster.Result) {
	if w.operator.pending != p {
		return
	}
	w.operator.pending = nil
	w.history.end(w.now, p.operation, writeOutput(result))
	if result.Rejected != "" {
		w.outcome.Rejected++
		return
	}
	w.outcome.Agreed++
	w.outcome.Commit = append(w.outcome.Commit, w.now-p.proposedAt)
}

// readVersion has an operator read the newest version through any member.
func (w *world) readVersion() {
	m := w.drawMember()
	if !w.isResponsive(m) {
		return
	}
	_, operation := w.history.begin(w.now, operationInput{})
	answer := func(version uint64, ok bool) {
		w.history.end(w.now, operation, operationOutput{version: version, ok: ok})
	}
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
