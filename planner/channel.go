package planner

import "slices"

// nonceModulo keeps nonces whole numbers below 65536.
const nonceModulo = 60000

// flowControl is the account of what waits on its way to the proxies: what was ordered and, for all that is known, has
// not left. Where the truth is not known, the larger figure holds. It decides nothing.
type flowControl struct {
	messageOverhead float64 // lines that a message costs beside its own
	nonces          int     // set so far
	batches         []batch
	entries         float64 // that may wait, of all sendings
	unanswered      float64 // of these, in calls without an answer yet
	probes          float64 // times that a proxy was asked what has left since a nonce was confirmed
}

// batch is what one turn put into the channel, under one nonce.
type batch struct {
	nonce, messages int
	at              float64
	open            map[int]float64 // lines by proxy that has yet to confirm
	entries         float64         // the sum of these
	reserved        float64         // the sum of all, confirmed or not
	repeated        float64         // lines that may be there once more, as a call of unknown outcome was repeated meanwhile
	weights, binds  map[int]int     // by pool, lines set for its members and proxies bound
	split           bool            // its messages may be there in two parts, which is counted
	accepted        bool            // the call that carried it was answered
}

// cost is how many lines an order to some proxies takes: with a message for each that has none in this turn yet.
func (ch *flowControl) cost(now float64, proxies []int, each float64) float64 {
	cost := each * float64(len(proxies))
	if n := len(ch.batches); n > 0 && ch.batches[n-1].at == now {
		for _, p := range proxies {
			if _, has := ch.batches[n-1].open[p]; !has {
				cost += ch.messageOverhead + 1
			}
		}
		return cost
	}
	return cost + float64(len(proxies))*(ch.messageOverhead+1)
}

// begin begins a turn's sending. It tells whether the turn needs a nonce: a first one.
func (ch *flowControl) begin(now float64) (first bool) {
	if n := len(ch.batches); n > 0 && ch.batches[n-1].at == now {
		return false
	}
	ch.nonces++
	ch.batches = append(ch.batches, batch{nonce: ch.nonces, at: now, open: map[int]float64{},
		weights: map[int]int{}, binds: map[int]int{}})
	return true
}

// reserve counts an order to some proxies in. It tells whether the turn needs a nonce.
func (ch *flowControl) reserve(now float64, proxies []int, each float64) (first bool) {
	if len(proxies) == 0 {
		return false
	}
	first = ch.begin(now)
	last := &ch.batches[len(ch.batches)-1]
	for _, p := range proxies {
		lines, has := last.open[p]
		add := each
		if !has {
			add += ch.messageOverhead + 1
			last.messages++
		}
		last.open[p] = lines + add
		last.entries += add
		last.reserved += add
		ch.entries += add
		if !last.accepted {
			ch.unanswered += add
		}
	}
	return first
}

// addWeight notes that the turn sets a line for the members of a pool.
func (ch *flowControl) addWeight(now float64, pool int) {
	if n := len(ch.batches); n > 0 && ch.batches[n-1].at == now {
		ch.batches[n-1].weights[pool]++
	}
}

// addBind notes that the turn binds a proxy to a pool's table.
func (ch *flowControl) addBind(pool int) { ch.batches[len(ch.batches)-1].binds[pool]++ }

// release takes a proxy off a sending: it confirmed, or its stream broke and its message is lost.
func (ch *flowControl) release(k, proxy int) {
	s := &ch.batches[k]
	lines := s.open[proxy]
	delete(s.open, proxy)
	s.entries -= lines
	ch.entries -= lines
	if !s.accepted {
		ch.unanswered -= lines
	}
}

// proxyLeft takes off what waits for a proxy whose stream broke.
func (ch *flowControl) proxyLeft(proxy int) {
	for k := range ch.batches {
		ch.release(k, proxy)
	}
	ch.dropSettled()
}

// acknowledged says that a proxy applied all up to a nonce: what was sent before has left.
func (ch *flowControl) acknowledged(proxy, nonce int) {
	at := ch.merge(ch.find(nonce))
	if at < 0 {
		return
	}
	ch.probes = 0
	ch.release(at, proxy)
	for _, s := range ch.batches[:at] {
		ch.entries -= s.entries + s.repeated
	}
	ch.batches = slices.Delete(ch.batches, 0, at)
	ch.dropSettled()
}

// accepted says that the call with a nonce was answered: all up to it went out.
func (ch *flowControl) accepted(nonce int) {
	at := ch.merge(ch.find(nonce))
	if at >= 0 && !ch.batches[at].accepted {
		ch.batches[at].accepted = true
		ch.unanswered -= ch.batches[at].entries
	}
	ch.dropSettled()
}

// merge joins the sendings before one that left in the same call: turns that waited for the relay. The one's nonce
// is that of the call, and to confirm it says nothing of the call's other messages. It gives the one's new place.
func (ch *flowControl) merge(at int) int {
	if at < 0 || ch.batches[at].accepted {
		return at
	}
	from := at
	for from > 0 && !ch.batches[from-1].accepted {
		from--
	}
	one := &ch.batches[at]
	for _, s := range ch.batches[from:at] {
		for p, lines := range s.open {
			one.open[p] += lines
		}
		one.entries, one.repeated, one.messages = one.entries+s.entries, one.repeated+s.repeated, one.messages+s.messages
		one.reserved += s.reserved
		for pool, n := range s.weights {
			one.weights[pool] += n
		}
		for pool, n := range s.binds {
			one.binds[pool] += n
		}
	}
	ch.batches = slices.Delete(ch.batches, from, at)
	return from
}

// retried says that the call with a nonce goes out again though it may have been carried out: whole, or only with
// a second message for those that had one. That the repeat has left shows only a nonce later than all so far: it may
// go out together with newer orders, and its own nonce may be that of the first time.
func (ch *flowControl) retried(nonce int, whole bool) {
	add, binds := 0.0, map[int]int{}
	for k := ch.find(nonce); k >= 0 && !ch.batches[k].accepted; k-- {
		s := &ch.batches[k]
		if whole {
			add += s.reserved
			for pool, n := range s.binds {
				binds[pool] += n
			}
			for pool, n := range s.weights {
				add += float64(n * binds[pool]) // whom the first time bound gets the lines that stood before
			}
		} else if !s.split {
			add += float64(len(s.open)) * (ch.messageOverhead + 1)
		}
		s.split = s.split || !whole
	}
	if add > 0 {
		ch.batches[len(ch.batches)-1].repeated += add
		ch.entries += add
	}
}

// find is the place of a nonce's sending, -1 if it has left.
func (ch *flowControl) find(nonce int) int {
	return slices.IndexFunc(ch.batches, func(s batch) bool { return s.nonce%nonceModulo == nonce })
}

// dropSettled drops sendings of which nothing waits.
func (ch *flowControl) dropSettled() {
	ch.batches = slices.DeleteFunc(ch.batches, func(s batch) bool {
		return s.accepted && len(s.open) == 0 && s.repeated == 0
	})
	if len(ch.batches) == 0 {
		ch.entries, ch.unanswered = 0, 0
	}
}

// unacknowledged tells how many of a nonce's messages were not confirmed yet, of how many.
func (ch *flowControl) unacknowledged(nonce int) (open, messages int) {
	for _, s := range ch.batches {
		if s.nonce == nonce {
			return len(s.open), s.messages
		}
	}
	return 0, 0
}

// InFlight is how many lines may wait in the channel, never fewer than do.
func (c *Planner) InFlight() float64 { return c.inFlight.entries }
