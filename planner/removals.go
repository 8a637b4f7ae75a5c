package planner

import (
	"cmp"
	"math"
	"slices"
)

const (
	// deliveryReserveFraction is the fraction of Config.DrainGrace that is kept for the delay between the channel and the
	// proxies.
	deliveryReserveFraction = 0.1
	// minBindChannelFraction is the fraction of the channel that binds are taken to get while removals precede them.
	minBindChannelFraction = 0.5
)

// removal holds the entries of a table whose endpoints drain or were removed.
type removal struct {
	table   int
	entries []int   // in descending order of their weight
	since   float64 // s, when the first of the endpoints became unavailable
}

// publishRemovalsAndBind publishes the pending removals and binds the waiting proxies, as far as flow control permits. It
// reports whether all removals were sent.
//
// Both keep requests away from endpoints that drain, within the same grace period (Config.DrainGrace): a proxy that is
// not bound yet uses the table of its former controller, which may contain any of them. Removals precede binds while the
// grace period leaves enough time for both. Otherwise those of a release would take most of the channel, as each is a
// message to every bound proxy, and the proxies of a failed controller would use drained endpoints past the grace period.
// Both are then sent in the order in which they became due, and removals that wait for binds share a message.
func (p *Planner) publishRemovalsAndBind() (allPublished bool) {
	removals := p.pendingRemovals()
	first := p.countRemovalsBeforeBinds(removals)
	allPublished = true
	for k, r := range removals {
		if k >= first && !p.bindWaitingSince(r.since) {
			allPublished = false
			break
		}
		if !p.publish(r.table, r.entries, urgentQueueFraction) {
			allPublished = false
		}
	}
	p.publication.removalsPending = !allPublished
	p.bindWaiting()
	return allPublished
}

// pendingRemovals returns the removals that are not published yet, in the order in which they became due.
func (p *Planner) pendingRemovals() []removal {
	var removals []removal
	for k := range p.subsets {
		entries := slices.DeleteFunc(p.subsets[k].table.changedEntries(0), func(i int) bool {
			return p.endpoints.all[i].state == Ready
		})
		if len(entries) == 0 {
			continue
		}
		since := math.Inf(1)
		for _, i := range entries {
			since = min(since, p.endpoints.all[i].unavailableSince)
		}
		removals = append(removals, removal{table: k, entries: entries, since: since})
	}
	slices.SortStableFunc(removals, func(a, b removal) int { return cmp.Compare(a.since, b.since) })
	return removals
}

// countRemovalsBeforeBinds returns how many of the pending removals precede all binds: all of them unless binds would be
// late. If binding takes longer than the grace period in any case, the removals that would be late as well precede it, so
// that at least the proxies that are already bound leave the endpoints in time.
func (p *Planner) countRemovalsBeforeBinds(removals []removal) int {
	if len(removals) == 0 || len(p.proxies.bindQueue) == 0 {
		return len(removals)
	}
	bindCosts := p.bindMessageCosts()
	if !p.bindsLate(removals, bindCosts) {
		return len(removals)
	}
	return p.countLateRemovals(removals, bindCosts)
}

// bindsLate reports whether some waiting proxy would be bound after its grace period if the pending removals preceded
// all binds, and later removals left minBindChannelFraction of the channel.
func (p *Planner) bindsLate(removals []removal, bindCosts []float64) bool {
	entries := p.flow.account.entries // to deliver up to and including the current bind
	for _, r := range removals {
		entries += p.removalCost(r)
	}
	for _, waiting := range p.proxies.bindQueue {
		entries += bindCosts[p.proxies.all[waiting.number].subset] / minBindChannelFraction
		if p.deliveredLate(entries, waiting.since) {
			return true
		}
	}
	return false
}

// countLateRemovals returns the number of removals up to the last one that the channel would deliver after its grace
// period if it had to wait for all binds that became due before it.
func (p *Planner) countLateRemovals(removals []removal, bindCosts []float64) (late int) {
	entries := p.flow.account.entries // to deliver up to and including the current removal
	waiting := p.proxies.bindQueue
	for k, r := range removals {
		for len(waiting) > 0 && waiting[0].since < r.since {
			entries += bindCosts[p.proxies.all[waiting[0].number].subset]
			waiting = waiting[1:]
		}
		entries += p.removalCost(r)
		if p.deliveredLate(entries, r.since) {
			late = k + 1
		}
	}
	return late
}

// removalCost returns the number of entries of the messages that publish a removal.
func (p *Planner) removalCost(r removal) float64 {
	return p.flow.account.cost(p.now, p.subsets[r.table].members, float64(len(r.entries)))
}

// deliveredLate reports whether the channel, after delivering the given number of entries, misses the grace period of
// what became due at a time.
func (p *Planner) deliveredLate(entries, since float64) bool {
	deadline := since + (1-deliveryReserveFraction)*p.config.DrainGrace
	return p.now+p.flow.deliverySeconds(entries) >= deadline
}
