package planner

import (
	"math"
	"slices"
)

// maxLevelsFraction is the most of the channel's rate that admission levels take: tables have to move on as well.
const maxLevelsFraction = 0.5

// publishedAdmission is what the members of a subset were last sent.
type publishedAdmission struct {
	levels      []float64 // by route, before they are turned into rates
	retryPolicy RetryPolicy
	at          float64 // s
}

// newPublishedAdmission is what proxies do until they are told: they admit all, and retry.
func newPublishedAdmission(routes int) publishedAdmission {
	return publishedAdmission{levels: slices.Repeat([]float64{1}, routes), retryPolicy: RetryIfNotSent}
}

// publishLevels sends the admission levels and the retry policy, subset by subset as flow control lets it, and before
// tables that may wait: in one piece for all proxies they may not fit beside tables for many seconds, during which an
// overload goes on with all admitted. It reports whether all that were due fit into the queue.
func (p *Planner) publishLevels() (allFit bool) {
	allFit = true
	for k := range p.subsets {
		if !p.levelsDue(k) {
			continue
		}
		s := &p.subsets[k]
		entries := float64(len(p.admission.byPriority))
		fits := p.flow.fits(p.flow.account.cost(p.now, s.members, entries), bindQueueFraction) || p.flow.idle()
		allFit = allFit && fits
		if !fits {
			continue
		}
		// A subset whose proxies got all the messages that they may get holds no other back.
		s.forgetOldMessages(p.now, p.config.MessageWindow)
		if p.flow.mayPublish(p.now, s, entries, urgentQueueFraction) {
			p.publishSubsetLevels(k)
		}
	}
	return allFit
}

// levelsDue reports whether a subset's levels or retry policy have changed and may be sent again.
func (p *Planner) levelsDue(subset int) bool {
	s := &p.subsets[subset]
	entriesEach := p.config.MessageOverhead + 1 + float64(len(p.admission.byPriority))
	entries := float64(len(s.members)*len(p.subsets)) * entriesEach // as though all subsets were as large
	interval := max(publishIntervalSeconds, entries/(maxLevelsFraction*max(p.config.EntriesPerSecond, 1)))
	if p.now < s.admission.at+interval {
		return false
	}
	return s.admission.retryPolicy != p.retryControl.policy() || !slices.Equal(s.admission.levels, p.admission.levels)
}

// publishSubsetLevels sends a subset the levels that changed, or all with a changed retry policy.
func (p *Planner) publishSubsetLevels(subset int) {
	s := &p.subsets[subset]
	policy := p.retryControl.policy()
	for r, level := range p.admission.levels {
		if s.admission.levels[r] == level && s.admission.retryPolicy == policy {
			continue
		}
		s.admission.levels[r] = level
		if p.config.Admission == AdmissionRate {
			level = p.admissionRate(r)
		}
		p.host.SetAdmission(subset, RouteID(r), level, policy)
		p.reserveEntry(subset)
	}
	s.admission.at = p.now
	s.admission.retryPolicy = policy
}

// admissionRate is the max-min fair rate of each proxy, in requests a second, that admits a route's level of its
// original requests. Client retries use none of it. A route that is admitted in full has no bound.
func (p *Planner) admissionRate(route int) float64 {
	original := p.admission.clientRetries.original[route]
	var rates []float64 // original requests a second, by connected proxy
	for k := range p.proxies.all {
		if member := &p.proxies.all[k]; member.connected {
			rates = append(rates, member.demand[route]*original/max(p.demand.byRoute[route], 1e-9))
		}
	}
	slices.Sort(rates)
	level := p.admission.levels[route]
	left := level * sum(rates)
	for k, rate := range rates {
		equalShare := left / float64(len(rates)-k)
		if level < 1 && rate >= equalShare {
			return equalShare
		}
		left -= rate
	}
	return math.MaxFloat32
}
