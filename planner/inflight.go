package planner

import "slices"

// nonceModulo keeps nonces whole numbers below 65536, as the platform's commands carry them. Batch nonceModulo has the
// nonce 0, which platform/wire also uses for "no nonce": it reports neither the acceptance nor a retry of a call whose
// last nonce is 0. The batch is settled with the next one that is accepted, but a retry of it is not counted.
const nonceModulo = 60000

// inFlightAccount counts the entries in flight to the proxies: what was commanded and, for all that is known, was not
// delivered yet. Where the truth is not known the larger figure holds, so that the channel is never overrun. The
// account decides nothing.
//
// Time alone releases nothing, as the channel can be many times slower than stated. What was reserved is released when
// the proxy acknowledges, when any proxy acknowledges a later nonce, or when the proxy's stream breaks.
type inFlightAccount struct {
	// messageOverhead is the entries that a message costs beside its own.
	messageOverhead float64

	// nonces counts the batches begun so far. The last batch's number is its nonce before nonceModulo.
	nonces int

	// batches are those with something in flight or not yet accepted, the oldest first: their nonces ascend, and the
	// accepted ones come before all others.
	batches []batch

	// entries is the sum of the batches' entries and repeated.
	entries float64

	// unaccepted is the sum of the entries of the batches that are not yet accepted. They leave with the next call.
	unaccepted float64
}

// batch is what one iteration of the event loop commanded, under one nonce. Batches that left in the same call are
// merged into the last one of them.
type batch struct {
	nonce int
	at    float64 // s, the time of the iteration

	// open is the entries by proxy that has yet to acknowledge, and entries is their sum.
	open    map[int]float64
	entries float64

	// messages counts the proxies that the batch reached, and reserved all their entries, acknowledged or not.
	messages int
	reserved float64

	// repeated is the entries that may be in flight once more, as a call of unknown outcome went out again. A proxy
	// that acknowledges this batch releases none of it, as it may have acknowledged the first call.
	repeated float64

	// weights and binds count, by subset, the entries set for its members and the proxies bound to its table.
	weights, binds map[int]int

	// split says that the call may have gone out in two parts, which repeated accounts for.
	split bool

	// accepted says that the call with the batch was accepted: its commands were carried out.
	accepted bool
}

// current returns the batch of the iteration at a time, nil if nothing was reserved in it yet. An iteration is told by
// its one reading of the clock, see Host: times are equal within it, and differ from those of all others.
func (a *inFlightAccount) current(now float64) *batch {
	if n := len(a.batches); n > 0 && a.batches[n-1].at == now {
		return &a.batches[n-1]
	}
	return nil
}

// cost returns the entries that some proxies' commands take, with a message for each proxy that has none in this
// iteration yet.
func (a *inFlightAccount) cost(now float64, proxies []int, each float64) float64 {
	cost := each * float64(len(proxies))
	current := a.current(now)
	if current == nil {
		return cost + float64(len(proxies))*(a.messageOverhead+1)
	}
	for _, proxy := range proxies {
		if _, has := current.open[proxy]; !has {
			cost += a.messageOverhead + 1
		}
	}
	return cost
}

// reserve counts entries for each of some proxies. It reports whether they begin a batch, which needs a nonce.
func (a *inFlightAccount) reserve(now float64, proxies []int, each float64) (begun bool) {
	if len(proxies) == 0 {
		return false
	}
	current := a.current(now)
	if current == nil {
		current = a.begin(now)
		begun = true
	}
	for _, proxy := range proxies {
		entries, has := current.open[proxy]
		added := each
		if !has {
			added += a.messageOverhead + 1
			current.messages++
		}
		current.open[proxy] = entries + added
		current.entries += added
		current.reserved += added
		a.entries += added
		if !current.accepted {
			a.unaccepted += added
		}
	}
	return begun
}

// begin starts the batch of an iteration.
func (a *inFlightAccount) begin(now float64) *batch {
	a.nonces++
	a.batches = append(a.batches, batch{
		nonce:   a.nonces,
		at:      now,
		open:    map[int]float64{},
		weights: map[int]int{},
		binds:   map[int]int{},
	})
	return &a.batches[len(a.batches)-1]
}

// countWeight notes that the iteration sets an entry for the members of a subset.
func (a *inFlightAccount) countWeight(now float64, subset int) {
	if current := a.current(now); current != nil {
		current.weights[subset]++
	}
}

// countBind notes that the iteration binds a proxy to a subset's table.
func (a *inFlightAccount) countBind(now float64, subset int) {
	if current := a.current(now); current != nil {
		current.binds[subset]++
	}
}

// release takes a proxy off a batch: it acknowledged, or its stream broke and its message is lost.
func (a *inFlightAccount) release(k, proxy int) {
	b := &a.batches[k]
	entries := b.open[proxy]
	delete(b.open, proxy)
	b.entries -= entries
	a.entries -= entries
	if !b.accepted {
		a.unaccepted -= entries
	}
}

// proxyLeft releases all that is in flight to a proxy whose stream broke.
func (a *inFlightAccount) proxyLeft(proxy int) {
	for k := range a.batches {
		a.release(k, proxy)
	}
	a.dropSettled()
}

// acknowledge says that a proxy has applied all up to a nonce: what other proxies were sent before that has left too,
// as the channel keeps the order. It reports whether the nonce is of a batch that is still counted.
func (a *inFlightAccount) acknowledge(proxy, nonce int) bool {
	k := a.merge(a.find(nonce))
	if k < 0 {
		return false
	}
	a.release(k, proxy)
	for _, earlier := range a.batches[:k] {
		a.entries -= earlier.entries + earlier.repeated
	}
	a.batches = slices.Delete(a.batches, 0, k)
	a.dropSettled()
	return true
}

// accept says that the call with a nonce was accepted: all up to it went out.
func (a *inFlightAccount) accept(nonce int) {
	k := a.merge(a.find(nonce))
	if k >= 0 && !a.batches[k].accepted {
		a.batches[k].accepted = true
		a.unaccepted -= a.batches[k].entries
	}
	a.dropSettled()
}

// merge joins a batch with those before it that left in the same call, as they waited for the answer to the one
// before. The call has the batch's nonce, and a proxy that acknowledges it says nothing of the call's other messages:
// released apart, they would be taken for delivered. merge returns the batch's new place.
//
// Of batches 5 (accepted), 6, 7 and 8 (not yet accepted), merge at the place of 7 leaves 5, 7 (with what 6 had in
// flight) and 8.
func (a *inFlightAccount) merge(k int) int {
	if k < 0 || a.batches[k].accepted {
		return k
	}
	// Accepted batches come first, so that all from here to k left in the same call.
	first := k
	for first > 0 && !a.batches[first-1].accepted {
		first--
	}
	merged := &a.batches[k]
	for _, earlier := range a.batches[first:k] {
		merged.add(earlier)
	}
	a.batches = slices.Delete(a.batches, first, k)
	return first
}

// add counts what another batch has in flight as this one's.
func (b *batch) add(other batch) {
	for proxy, entries := range other.open {
		b.open[proxy] += entries
	}
	b.entries += other.entries
	b.repeated += other.repeated
	b.messages += other.messages
	b.reserved += other.reserved
	for subset, n := range other.weights {
		b.weights[subset] += n
	}
	for subset, n := range other.binds {
		b.binds[subset] += n
	}
}

// countRetry says that the call with a nonce goes out again though it may have been carried out: all of it, or its first
// part only, which costs a second message for each proxy. What is repeated counts under the last batch so far: the
// repeated call may leave together with it, and an acknowledgement of the call's own nonce may be of the first time.
//
// Of batches 5 (accepted), 6, 7 and 8, a full retry of the call with nonce 7 repeats what 6 and 7 reserved, and counts
// it under 8.
func (a *inFlightAccount) countRetry(nonce int, full bool) {
	repeated := 0.0
	binds := map[int]int{} // by subset, those of the batches up to the nonce
	// Accepted batches come first, so that those from the nonce back to them are all of the call.
	for k := a.find(nonce); k >= 0 && !a.batches[k].accepted; k-- {
		b := &a.batches[k]
		switch {
		case full:
			repeated += b.reserved
			for subset, n := range b.binds {
				binds[subset] += n
			}
			for subset, n := range b.weights {
				// A proxy that the first call bound already gets the entries that were set before it was.
				repeated += float64(n * binds[subset])
			}
		case !b.split:
			repeated += float64(len(b.open)) * (a.messageOverhead + 1)
			b.split = true
		}
	}
	if repeated > 0 {
		a.batches[len(a.batches)-1].repeated += repeated
		a.entries += repeated
	}
}

// find returns the place of a nonce's batch, -1 if nothing of it is in flight. Nonce 7 is that of batches 7, 60007 and
// so on: the oldest counts, as far fewer than nonceModulo are in flight at once.
func (a *inFlightAccount) find(nonce int) int {
	return slices.IndexFunc(a.batches, func(b batch) bool { return b.nonce%nonceModulo == nonce })
}

// dropSettled drops batches that were accepted and have nothing in flight.
func (a *inFlightAccount) dropSettled() {
	a.batches = slices.DeleteFunc(a.batches, func(b batch) bool {
		return b.accepted && len(b.open) == 0 && b.repeated == 0
	})
	if len(a.batches) == 0 {
		// Differences of sums leave rounding errors, which must not add up.
		a.entries = 0
		a.unaccepted = 0
	}
}

// unacknowledged returns how many messages of a batch are not acknowledged yet, and how many it has.
func (a *inFlightAccount) unacknowledged(nonce int) (open, messages int) {
	for _, b := range a.batches {
		if b.nonce == nonce {
			return len(b.open), b.messages
		}
	}
	return 0, 0
}
