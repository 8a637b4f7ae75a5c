package simulation

import (
	"fmt"

	"harehook.dev/harehook/cluster"
)

const (
	maxProposalRepetitions = 6 // of one proposal, after which the operator gives up
	staleBaseEvery         = 5 // on average, one in this many proposals is based on the previous version
)

// operator proposes changes, one at a time. It also reads the version, which needs no state here.
type operator struct {
	pending *proposal // nil if there is none
}

// proposal is a configuration change whose result the operator waits for.
type proposal struct {
	command     cluster.Command
	proposedAt  int // tick
	operation   int // index in the history
	repetitions int // attempts after the first
}

// runOperator lets the operator propose changes and read, each through a random member.
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

// propose submits a new proposal that is based on the newest version or, for some proposals, on the previous one.
func (w *world) propose() {
	base := w.newestVersion()
	if w.rng.IntN(staleBaseEvery) == 0 && base > 0 {
		base--
	}
	client, operation := w.history.recordCall(w.now, operationInput{isWrite: true, base: base})
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

// isProposalOverdue reports whether the pending proposal must be repeated in this tick.
func (w *world) isProposalOverdue() bool {
	pending := w.operator.pending
	if pending == nil || w.now == pending.proposedAt {
		return false
	}
	retryEvery := 2 * w.setup.Timing.ElectionTicks
	return (w.now-pending.proposedAt)%retryEvery == 0
}

// repeatProposal submits the pending proposal again, through a random member, because its response may be lost. After
// maxProposalRepetitions repetitions the operator gives up and counts the proposal as one with an unknown outcome.
func (w *world) repeatProposal() (repeated bool) {
	pending := w.operator.pending
	pending.repetitions++
	if pending.repetitions > maxProposalRepetitions {
		w.outcome.Unknown++
		w.operator.pending = nil
		return false
	}
	w.submit(pending)
	return true
}

// submit submits a proposal to a random member, if that is responsive.
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

// recordResult completes a proposal with its result, unless the operator no longer waits for it.
func (w *world) recordResult(p *proposal, result cluster.Result) {
	if w.operator.pending != p {
		return
	}
	w.operator.pending = nil
	w.history.recordReturn(w.now, p.operation, writeOutput(result))
	if result.Rejected != "" {
		w.outcome.Rejected++
		return
	}
	w.outcome.Agreed++
	w.outcome.Commit = append(w.outcome.Commit, w.now-p.proposedAt)
}

// readVersion performs a linearizable read of the version through a random member.
func (w *world) readVersion() {
	m := w.drawMember()
	if !w.isResponsive(m) {
		return
	}
	_, operation := w.history.recordCall(w.now, operationInput{})
	respond := func(version uint64, ok bool) {
		w.history.recordReturn(w.now, operation, operationOutput{version: version, ok: ok})
	}
	if w.setup.Planted == StaleRead {
		respond(m.State.Current().Number, true)
		return
	}
	id, err := m.RequestReadIndex()
	if err != nil {
		respond(0, false)
		return
	}
	m.pendingReads[id] = respond
	w.advance(m)
}

// newestVersion returns the newest version at the members that are up: the one that an operator finds by asking them
// all.
func (w *world) newestVersion() (number uint64) {
	for _, m := range w.members {
		if m.up {
			number = max(number, m.State.Current().Number)
		}
	}
	return number
}
