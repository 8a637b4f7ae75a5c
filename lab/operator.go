package lab

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"harehook.dev/harehook/cluster"
)

const (
	proposeTries = 6 // after which an operator gives up
	staleBase    = 5 // one in so many proposals is by an operator who did not see the last change
)

// proposal is a change of configuration that an operator waits for.
type proposal struct {
	command cluster.Command
	at      int
	op      int // its place in the history
	tries   int
}

// operate has one operator propose changes and read, through any member; what gets no answer is asked again elsewhere.
func (w *World) operate() {
	every := w.set.ProposeEvery
	if every == 0 || w.now < 2*w.set.Timing.Election {
		return
	}
	if w.now%every == 0 && w.pending == nil {
		w.propose()
	}
	if p := w.pending; p != nil && (w.now-p.at)%(2*w.set.Timing.Election) == 0 && w.now > p.at {
		if p.tries++; p.tries > proposeTries {
			w.out.Unknown++
			w.pending = nil // the operator gives up and does not know
			return
		}
		w.try(p) // the answer may be lost: the same proposal again, anywhere
	}
	if w.now%(every/2+1) == 0 {
		w.read()
	}
}

// propose begins a proposal on the newest version, or on the one before.
func (w *World) propose() {
	w.clients++
	base := w.newest()
	if w.chance.IntN(staleBase) == 0 && base > 0 {
		base--
	}
	c := cluster.Command{
		Kind:   cluster.Put,
		Client: clientName(w.clients),
		Seq:    1,
		Base:   base,
		Text:   fmt.Sprint("text ", w.clients),
		By:     "operator",
	}
	w.pending = &proposal{command: c, at: w.now, op: w.call(input{put: true, base: base})}
	w.try(w.pending)
}

// clientName is the name by which a client of the history proposes.
func clientName(client int) string { return fmt.Sprint("operator-", client) }

// call adds an operation of the newest client to the history and returns its place there.
func (w *World) call(in input) (at int) {
	w.history = append(w.history, porcupine.Operation{ClientId: w.clients, Input: in, Call: int64(2 * w.now), Return: -1})
	return len(w.history) - 1
}

// answer notes what became of an operation.
func (w *World) answer(at int, out output) {
	w.history[at].Return = int64(2*w.now + 1)
	w.history[at].Output = out
}

// read has an operator read the newest version through any member.
func (w *World) read() {
	m := w.members[w.chance.IntN(len(w.members))]
	if !w.runs(m) {
		return
	}
	w.clients++
	at := w.call(input{})
	answer := func(number uint64, ok bool) { w.answer(at, output{number: number, ok: ok}) }
	if w.set.Planted == StaleRead {
		answer(m.State.Current().Number, true)
		return
	}
	id, err := m.ReadFresh()
	if err != nil {
		answer(0, false)
		return
	}
	m.asked[id] = answer
	w.turn(m)
}

// newest is the newest version that any member that is up knows: what an operator sees who looks around.
func (w *World) newest() (number uint64) {
	for _, m := range w.members {
		if m.up {
			number = max(number, m.State.Current().Number)
		}
	}
	return number
}

// try has any member take a proposal.
func (w *World) try(p *proposal) {
	m := w.members[w.chance.IntN(len(w.members))]
	if !w.runs(m) {
		return
	}
	if m.Propose(p.command) == nil {
		m.proposed[p.command.Client] = p
		if w.set.Planted == BeforeCommit && m.Leads() {
			m.early = cluster.Version{Number: m.Standing().Applied + 1, Text: p.command.Text}
		}
	}
	w.turn(m)
}

// answered ends the proposal that the operator waits for with its result.
func (w *World) answered(p *proposal, r cluster.Result) {
	if w.pending != p {
		return
	}
	w.pending = nil
	w.answer(p.op, output{number: r.Number, ok: r.Refused == "", known: true})
	if r.Refused == "" {
		w.out.Agreed++
		w.out.Commit = append(w.out.Commit, w.now-p.at)
	} else {
		w.out.Refused++
	}
}
