package planner

import (
	"math"
	"slices"
)

// maxLevelsFraction is the maximum fraction of the channel's rate that admission levels may use, so that routing tables
// can be published as well.
const maxLevelsFraction = 0.5

// publishedAdmission holds the admission levels and the retry policy that were last sent to the members of a subset.
type publishedAdmission struct {
	levels      []float64 // by route, before conversion to rates
	retryPolicy RetryPolicy
	at          float64 // s, time of the last publication
}

// newPublishedAdmission returns the defaults of a proxy that has received no levels: it admits all requests and
// retries.
func newPublishedAdmission(routes int) publishedAdmission {
	return publishedAdmission{levels: slices.Repeat([]float64{1}, routes), retryPolicy: RetryIfNotSent}
}

// publishLevels sends the admission levels and the retry policy to one subset after the other, as flow control permits,
// and before tables that are not urgent. A single publication for all proxies may not fit beside the tables for many
// seconds, during which an overload continues with all requests admitted. It reports whether all due publications fit
// into the queue.
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
		// A subset whose proxies have reached their message limit does not delay other subsets.
		s.dropOldMessages(p.now, p.config.MessageWindow)
		if p.flow.mayPublish(p.now, s, entries, urgentQueueFraction) {
			p.publishSubsetLevels(k)
		}
	}
	return allFit
}

// levelsDue reports whether a subset's levels or retry policy have changed and the minimum interval since their last
// publication has passed.
func (p *Planner) levelsDue(subset int) bool {
	s := &p.subsets[subset]
	entriesPerMember := p.config.MessageOverhead + 1 + float64(len(p.admission.byPriority))
	entries := float64(len(s.members)*len(p.subsets)) * entriesPerMember // as if all subsets had this size
	interval := max(publishIntervalSeconds, entries/(maxLevelsFraction*max(p.config.EntriesPerSecond, 1)))
	if p.now < s.admission.at+interval {
		return false
	}
	return s.admission.retryPolicy != p.retryControl.policy() || !slices.Equal(s.admission.levels, p.admission.levels)
}

// publishSubsetLevels sends a subset its changed levels, or all levels if the retry policy has changed.
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

// admissionRate returns the rate limit of each proxy, in requests a second, that admits the fraction of a route's
// original requests given by its level. The limit is max-min fair; client retries are not counted. A route that is
// admitted in full has no limit.
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
	remainingRate := level * sum(rates)
	for k, rate := range rates {
		equalShare := remainingRate / float64(len(rates)-k)
		if level < 1 && rate >= equalShare {
			return equalShare
		}
		remainingRate -= rate
	}
	return math.MaxFloat32
}
