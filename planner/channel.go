package planner

import "slices"

// nonceModulo keeps nonces whole numbers below 65536.
const nonceModulo = 60000

// channel is the account of what waits on its way to the proxies: what was ordered and, for all that is known, has
// not left. Where the truth is not known, the larger figure holds. It decides nothing.
type channel struct {
	head     float64 // lines that a message costs beside its own
	nonces   int     // set so far
	sendings []sending
	lines    float64 // that may wait, of all sendings
	call     float64 // of these, in calls without an answer yet
	probes   float64 // times that a proxy was asked what has left since a nonce was confirmed
}

// sending is what one turn put into the channel, under one nonce.
type sending struct {
	nonce, messages int
	at              float64
	open            map[int]float64 // lines by proxy that has yet to confirm
	lines           float64         // the sum of these
	booked          float64         // the sum of all, confirmed or not
	again           float64         // lines that may be there once more, as a call of unknown outcome was repeated meanwhile
	puts, binds     map[int]int     // by pool, lines set for its members and proxies bound
	split           bool            // its messages may be there in two parts, which is counted
	taken           bool            // the call that carried it was answered
}

// cost is how many lines an order to some proxies takes: with a message for each that has none in this turn yet.
func (ch *channel) cost(now float64, proxies []int, each float64) float64 {
	cost := each * float64(len(proxies))
	if n := len(ch.sendings); n > 0 && ch.sendings[n-1].at == now {
		for _, p := range proxies {
			if _, has := ch.sendings[n-1].open[p]; !has {
				cost += ch.head + 1
			}
		}
		return cost
	}
	return cost + float64(len(proxies))*(ch.head+1)
}

// turn begins a turn's sending. It tells whether the turn needs a nonce: a first one.
func (ch *channel) turn(now float64) (first bool) {
	if n := len(ch.sendings); n > 0 && ch.sendings[n-1].at == now {
		return false
	}
	ch.nonces++
	ch.sendings = append(ch.sendings, sending{nonce: ch.nonces, at: now, open: map[int]float64{},
		puts: map[int]int{}, binds: map[int]int{}})
	return true
}

// book counts an order to some proxies in. It tells whether the turn needs a nonce.
func (ch *channel) book(now float64, proxies []int, each float64) (first bool) {
	if len(proxies) == 0 {
		return false
	}
	first = ch.turn(now)
	last := &ch.sendings[len(ch.sendings)-1]
	for _, p := range proxies {
		lines, has := last.open[p]
		add := each
		if !has {
			add += ch.head + 1
			last.messages++
		}
		last.open[p] = lines + add
		last.lines += add
		last.booked += add
		ch.lines += add
		if !last.taken {
			ch.call += add
		}
	}
	return first
}

// put notes that the turn sets a line for the members of a pool.
func (ch *channel) put(now float64, pool int) {
	if n := len(ch.sendings); n > 0 && ch.sendings[n-1].at == now {
		ch.sendings[n-1].puts[pool]++
	}
}

// bind notes that the turn binds a proxy to a pool's table.
func (ch *channel) bind(pool int) { ch.sendings[len(ch.sendings)-1].binds[pool]++ }

// settle takes a proxy off a sending: it confirmed, or its stream broke and its message is lost.
func (ch *channel) settle(k, proxy int) {
	s := &ch.sendings[k]
	lines := s.open[proxy]
	delete(s.open, proxy)
	s.lines -= lines
	ch.lines -= lines
	if !s.taken {
		ch.call -= lines
	}
}

// left takes off what waits for a proxy whose stream broke.
func (ch *channel) left(proxy int) {
	for k := range ch.sendings {
		ch.settle(k, proxy)
	}
	ch.tidy()
}

// confirmed says that a proxy applied all up to a nonce: what was sent before has left.
func (ch *channel) confirmed(proxy, nonce int) {
	at := ch.fuse(ch.find(nonce))
	if at < 0 {
		return
	}
	ch.probes = 0
	ch.settle(at, proxy)
	for _, s := range ch.sendings[:at] {
		ch.lines -= s.lines + s.again
	}
	ch.sendings = slices.Delete(ch.sendings, 0, at)
	ch.tidy()
}

// taken says that the call with a nonce was answered: all up to it went out.
func (ch *channel) taken(nonce int) {
	at := ch.fuse(ch.find(nonce))
	if at >= 0 && !ch.sendings[at].taken {
		ch.sendings[at].taken = true
		ch.call -= ch.sendings[at].lines
	}
	ch.tidy()
}

// fuse joins the sendings before one that left in the same call: turns that waited for the relay. The one's nonce
// is that of the call, and to confirm it says nothing of the call's other messages. It gives the one's new place.
func (ch *channel) fuse(at int) int {
	if at < 0 || ch.sendings[at].taken {
		return at
	}
	from := at
	for from > 0 && !ch.sendings[from-1].taken {
		from--
	}
	one := &ch.sendings[at]
	for _, s := range ch.sendings[from:at] {
		for p, lines := range s.open {
			one.open[p] += lines
		}
		one.lines, one.again, one.messages = one.lines+s.lines, one.again+s.again, one.messages+s.messages
		one.booked += s.booked
		for pool, n := range s.puts {
			one.puts[pool] += n
		}
		for pool, n := range s.binds {
			one.binds[pool] += n
		}
	}
	ch.sendings = slices.Delete(ch.sendings, from, at)
	return from
}

// repeated says that the call with a nonce goes out again though it may have been carried out: whole, or only with
// a second message for those that had one. That the repeat has left shows only a nonce later than all so far: it may
// go out together with newer orders, and its own nonce may be that of the first time.
func (ch *channel) repeated(nonce int, whole bool) {
	add, binds := 0.0, map[int]int{}
	for k := ch.find(nonce); k >= 0 && !ch.sendings[k].taken; k-- {
		s := &ch.sendings[k]
		if whole {
			add += s.booked
			for pool, n := range s.binds {
				binds[pool] += n
			}
			for pool, n := range s.puts {
				add += float64(n * binds[pool]) // whom the first time bound gets the lines that stood before
			}
		} else if !s.split {
			add += float64(len(s.open)) * (ch.head + 1)
		}
		s.split = s.split || !whole
	}
	if add > 0 {
		ch.sendings[len(ch.sendings)-1].again += add
		ch.lines += add
	}
}

// find is the place of a nonce's sending, -1 if it has left.
func (ch *channel) find(nonce int) int {
	return slices.IndexFunc(ch.sendings, func(s sending) bool { return s.nonce%nonceModulo == nonce })
}

// tidy drops sendings of which nothing waits.
func (ch *channel) tidy() {
	ch.sendings = slices.DeleteFunc(ch.sendings, func(s sending) bool {
		return s.taken && len(s.open) == 0 && s.again == 0
	})
	if len(ch.sendings) == 0 {
		ch.lines, ch.call = 0, 0
	}
}

// unsettled tells how many of a nonce's messages were not confirmed yet, of how many.
func (ch *channel) unsettled(nonce int) (open, messages int) {
	for _, s := range ch.sendings {
		if s.nonce == nonce {
			return len(s.open), s.messages
		}
	}
	return 0, 0
}

// InFlight is how many lines may wait in the channel, never fewer than do.
func (c *Planner) InFlight() float64 { return c.channel.lines }
