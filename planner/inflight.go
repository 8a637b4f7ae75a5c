package planner

import "slices"

// nonceModulo keeps nonces below 65536, as the platform's commands require whole numbers below this bound. Batch
// nonceModulo has the nonce 0, which platform/wire also uses for "no nonce": it reports neither the acceptance nor a
// retry of a call whose last nonce is 0. The batch is settled when the next one is accepted, but a retry of it is not
// counted.
const nonceModulo = 60000

// inFlightAccount counts the entries in flight to the proxies: those that were commanded and are not known to be
// delivered. If the number is uncertain, it counts the larger one, so that the channel is never overrun. The account
// makes no decisions.
//
// Entries are never released after a timeout, as the channel can be many times slower than stated. The entries reserved
// for a proxy are released when it acknowledges them, when any proxy acknowledges a later nonce, or when the proxy's
// stream breaks.
type inFlightAccount struct {
	// messageOverhead is the cost of a message in entries, in addition to the entries that it carries.
	messageOverhead float64

	// nonces is the number of batches started so far. It is the nonce of the last batch before reduction by
	// nonceModulo.
	nonces int

	// batches holds the batches that have entries in flight or are not yet accepted, oldest first. Their nonces ascend,
	// and accepted batches precede all others.
	batches []batch

	// entries is the sum of batch.entries and batch.repeated over all batches.
	entries float64

	// unaccepted is the sum of batch.entries over the batches that are not yet accepted. They are sent with the next
	// call.
	unaccepted float64
}

// batch describes the commands of one event loop iteration, which share one nonce. Batches that were sent in the same
// call are merged into the last one of them. A batch is settled once it was accepted and has no entries in flight.
type batch struct {
	nonce int
	at    float64 // s, time of the iteration

	// unacknowledgedEntries holds the entries by proxy that has not yet acknowledged the batch, and entries is their
	// sum.
	unacknowledgedEntries map[int]float64
	entries               float64

	// messages is the number of messages of the batch, one for each proxy. reserved is the sum of their entries,
	// whether acknowledged or not.
	messages int
	reserved float64

	// repeated is the number of entries that may be in flight a second time, because a call with unknown outcome was
	// sent again. An acknowledgement of this batch releases none of them, as it may belong to the first call.
	repeated float64

	// weights and binds are, by subset, the number of entries set for its members and of proxies bound to its table.
	weights, binds map[int]int

	// split reports whether the call may have been sent in two parts, which repeated accounts for.
	split bool

	// accepted reports whether the call with the batch was accepted, which means that its commands were carried out.
	accepted bool
}

// current returns the batch of the iteration at the given time, or nil if nothing was reserved in it yet. The time
// identifies the iteration, as each iteration reads the clock once and no two read the same time: see Host.
func (a *inFlightAccount) current(now float64) *batch {
	if n := len(a.batches); n > 0 && a.batches[n-1].at == now {
		return &a.batches[n-1]
	}
	return nil
}

// cost returns the number of entries to reserve for commands to the given proxies, including the overhead of a message
// to each proxy that has none in this iteration yet.
func (a *inFlightAccount) cost(now float64, proxies []int, entriesPerProxy float64) float64 {
	cost := entriesPerProxy * float64(len(proxies))
	current := a.current(now)
	if current == nil {
		return cost + float64(len(proxies))*(a.messageOverhead+1)
	}
	for _, proxy := range proxies {
		if _, hasMessage := current.unacknowledgedEntries[proxy]; !hasMessage {
			cost += a.messageOverhead + 1
		}
	}
	return cost
}

// reserve counts entries for each of the given proxies as in flight. It reports whether this started a batch, whose
// nonce must then be requested.
func (a *inFlightAccount) reserve(now float64, proxies []int, entriesPerProxy float64) (started bool) {
	if len(proxies) == 0 {
		return false
	}
	current := a.current(now)
	if current == nil {
		current = a.startBatch(now)
		started = true
	}
	for _, proxy := range proxies {
		entries, hasMessage := current.unacknowledgedEntries[proxy]
		added := entriesPerProxy
		if !hasMessage {
			added += a.messageOverhead + 1
			current.messages++
		}
		current.unacknowledgedEntries[proxy] = entries + added
		current.entries += added
		current.reserved += added
		a.entries += added
		if !current.accepted {
			a.unaccepted += added
		}
	}
	return started
}

// startBatch starts the batch of the iteration at the given time.
func (a *inFlightAccount) startBatch(now float64) *batch {
	a.nonces++
	a.batches = append(a.batches, batch{
		nonce:                 a.nonces,
		at:                    now,
		unacknowledgedEntries: map[int]float64{},
		weights:               map[int]int{},
		binds:                 map[int]int{},
	})
	return &a.batches[len(a.batches)-1]
}

// countWeight records that the iteration sets an entry for the members of a subset.
func (a *inFlightAccount) countWeight(now float64, subset int) {
	if current := a.current(now); current != nil {
		current.weights[subset]++
	}
}

// countBind records that the iteration binds a proxy to a subset's table.
func (a *inFlightAccount) countBind(now float64, subset int) {
	if current := a.current(now); current != nil {
		current.binds[subset]++
	}
}

// release releases the entries of a proxy in batch k: the proxy acknowledged them, or its stream broke and the message
// is lost.
func (a *inFlightAccount) release(k, proxy int) {
	b := &a.batches[k]
	entries := b.unacknowledgedEntries[proxy]
	delete(b.unacknowledgedEntries, proxy)
	b.entries -= entries
	a.entries -= entries
	if !b.accepted {
		a.unaccepted -= entries
	}
}

// releaseProxy releases all entries in flight to a proxy whose stream broke.
func (a *inFlightAccount) releaseProxy(proxy int) {
	for k := range a.batches {
		a.release(k, proxy)
	}
	a.dropSettled()
}

// acknowledge records that a proxy has applied all commands up to a nonce. As the channel preserves the order, the
// earlier batches to other proxies have left the channel too. It reports whether the batch of the nonce was still
// counted.
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

// accept records that the call with a nonce was accepted: all batches up to the nonce have been sent.
func (a *inFlightAccount) accept(nonce int) {
	k := a.merge(a.find(nonce))
	if k >= 0 && !a.batches[k].accepted {
		a.batches[k].accepted = true
		a.unaccepted -= a.batches[k].entries
	}
	a.dropSettled()
}

// merge merges batch k with the earlier batches that were sent in the same call, because they had to wait for the
// response to the previous call. The call carries only the nonce of batch k, and a proxy that acknowledges it confirms
// no other message of the call. If the earlier batches were kept, this acknowledgement would release them as delivered.
// merge returns the new index of the batch.
//
// For example, of batches 5 (accepted), 6, 7 and 8 (not yet accepted), merge at the index of 7 leaves 5, 7 (which
// includes the entries of 6) and 8.
func (a *inFlightAccount) merge(k int) int {
	if k < 0 || a.batches[k].accepted {
		return k
	}
	// Accepted batches come first, so all batches from first to k were sent in the same call.
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

// add adds the counts of another batch to this one.
func (b *batch) add(other batch) {
	for proxy, entries := range other.unacknowledgedEntries {
		b.unacknowledgedEntries[proxy] += entries
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

// countRetry records that the call with a nonce is sent again although it may have been carried out: all of it (full),
// or only its first part, which costs a second message for each proxy. The repeated entries count towards the last
// batch, as the retry may be sent together with it, and an acknowledgement of the call's own nonce may belong to the
// first call.
//
// For example, of batches 5 (accepted), 6, 7 and 8, a full retry of the call with nonce 7 repeats the entries reserved
// by 6 and 7, and they count towards 8.
func (a *inFlightAccount) countRetry(nonce int, full bool) {
	repeated := 0.0
	binds := map[int]int{} // by subset, binds of the batches visited so far
	// Accepted batches come first, so the batches between them and the nonce are all those of the call.
	for k := a.find(nonce); k >= 0 && !a.batches[k].accepted; k-- {
		b := &a.batches[k]
		switch {
		case full:
			repeated += b.reserved
			for subset, n := range b.binds {
				binds[subset] += n
			}
			for subset, n := range b.weights {
				// A proxy that the first call has bound now also gets the entries that were set before its bind.
				repeated += float64(n * binds[subset])
			}
		case !b.split:
			repeated += float64(len(b.unacknowledgedEntries)) * (a.messageOverhead + 1)
			b.split = true
		}
	}
	if repeated > 0 {
		a.batches[len(a.batches)-1].repeated += repeated
		a.entries += repeated
	}
}

// find returns the index of the batch with a nonce, or -1 if the batch is not counted. Batches 7, 60007 and so on all
// have nonce 7; find returns the oldest of them, as far fewer than nonceModulo batches are in flight at the same time.
func (a *inFlightAccount) find(nonce int) int {
	return slices.IndexFunc(a.batches, func(b batch) bool { return b.nonce%nonceModulo == nonce })
}

// dropSettled drops the settled batches.
func (a *inFlightAccount) dropSettled() {
	a.batches = slices.DeleteFunc(a.batches, func(b batch) bool {
		return b.accepted && len(b.unacknowledgedEntries) == 0 && b.repeated == 0
	})
	if len(a.batches) == 0 {
		// Repeated additions and subtractions leave rounding errors, which must not accumulate.
		a.entries = 0
		a.unaccepted = 0
	}
}

// unacknowledged returns how many messages of a batch remain to be acknowledged, and how many it has in total.
func (a *inFlightAccount) unacknowledged(nonce int) (remaining, messages int) {
	for _, b := range a.batches {
		if b.nonce == nonce {
			return len(b.unacknowledgedEntries), b.messages
		}
	}
	return 0, 0
}
