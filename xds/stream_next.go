package xds

import (
	"fmt"
	"maps"
	"slices"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// responsePlan is what the next response of a type would bring.
type responsePlan struct {
	after    ResourceSet // what is accepted after it
	complete bool        // that is all of the target
	changed  []string    // names that the sidecar has not or at another version
	removed  []string    // names that it has and is to drop
	missing  []string    // names that it has subscribed to and that do not exist; delta only
}

// Next returns the responses that are due, of the stream's variant, in the order in which they have to be sent. A type waits
// while one before it is not settled, so that nothing refers to what the sidecar has not.
func (s *Stream) Next(now float64) (state []*discoveryv3.DiscoveryResponse, delta []*discoveryv3.DeltaDiscoveryResponse) {
	if s.target == nil {
		return nil, nil
	}
	for t := range NumResourceTypes {
		sub := &s.subscriptions[t]
		if !sub.subscribed {
			continue
		}
		if sub.pending != nil {
			return nil, nil
		}
		if sub.statedVersion != "" {
			s.handleStatedVersion(t, sub.statedVersion) // it may have been stated before there was a target
		}
		plan := s.planResponse(t)
		if !s.startResponse(now, t, plan) {
			continue
		}
		if s.Delta {
			delta = append(delta, sub.deltaResponse(t, append(plan.removed, plan.missing...)))
		} else {
			state = append(state, sub.stateOfTheWorldResponse(t))
		}
		return state, delta
	}
	return nil, nil
}

// planResponse returns what the next response of a type would bring.
func (s *Stream) planResponse(t ResourceType) responsePlan {
	sub := &s.subscriptions[t]
	after, complete := s.nextResources(t)
	plan := responsePlan{after: after, complete: complete}
	for _, name := range sortedKeys(after) {
		if !sub.accepted.has(after[name]) {
			plan.changed = append(plan.changed, name)
		}
	}
	for _, name := range sortedKeys(sub.accepted) {
		if after[name] == nil {
			plan.removed = append(plan.removed, name)
		}
	}
	sub.isolateSuspect(&plan)
	if s.Delta {
		plan.missing = sub.missingNames(plan.after)
	}
	return plan
}

// nextResources returns what a sidecar is to accept next of a type, and whether that is all of the target. It is the target
// with three exceptions: a version that the sidecar rejected is not sent again, routes wait for the clusters that they refer
// to, and clusters stay as long as accepted routes refer to them.
func (s *Stream) nextResources(t ResourceType) (next ResourceSet, complete bool) {
	sub := &s.subscriptions[t]
	next = sub.wanted(s.target.Sets[t])
	complete = true
	for name, resource := range next {
		rejection, rejected := sub.rejections[name]
		rejected = rejected && rejection.Version == resource.Version
		if !rejected && s.dependenciesAccepted(resource) {
			continue
		}
		complete = false
		if accepted := sub.accepted[name]; accepted != nil {
			next[name] = accepted
		} else {
			delete(next, name)
		}
	}
	for name, resource := range next {
		if sub.accepted.has(resource) {
			sub.accepted[name] = resource // of a version that was stated the body is known from now on
		}
	}
	if t == Clusters || t == Endpoints {
		s.keepUsedClusters(sub, next)
	}
	return next, complete
}

// keepUsedClusters adds the accepted resources of clusters that routes may refer to. In state of the world one of which only
// the version is known can't be listed again.
func (s *Stream) keepUsedClusters(sub *subscription, next ResourceSet) {
	for name, accepted := range sub.accepted {
		if next[name] == nil && s.mayUseCluster(name) && (s.Delta || accepted.Body != nil) {
			next[name] = accepted
		}
	}
}

// mayUseCluster tells whether accepted routes may refer to a cluster. Of routes of which only the version is known they may.
func (s *Stream) mayUseCluster(cluster string) bool {
	for _, routes := range s.subscriptions[Routes].accepted {
		if routes.Body == nil || slices.Contains(routes.Clusters, cluster) {
			return true
		}
	}
	return false
}

// dependenciesAccepted tells whether the sidecar has accepted the clusters that a resource refers to, and their endpoints.
func (s *Stream) dependenciesAccepted(resource *Resource) bool {
	for _, name := range resource.Clusters {
		for _, t := range []ResourceType{Clusters, Endpoints} {
			sub := &s.subscriptions[t]
			if !sub.subscribed || sub.accepted[name] == nil {
				return false
			}
		}
	}
	return true
}

// isolateSuspect reduces a plan to one suspect, if there is one beside others: what a sidecar then rejects is known.
func (sub *subscription) isolateSuspect(plan *responsePlan) {
	if len(plan.changed) < 2 {
		return
	}
	index := slices.IndexFunc(plan.changed, func(name string) bool { return sub.suspects[name] })
	if index < 0 {
		return
	}
	suspect := plan.changed[index]
	after := maps.Clone(sub.accepted)
	after[suspect] = plan.after[suspect]
	*plan = responsePlan{after: after, changed: []string{suspect}}
}

// missingNames returns the names that were subscribed to since the last response and do not exist.
func (sub *subscription) missingNames(after ResourceSet) (missing []string) {
	for _, name := range sortedKeys(sub.unansweredNames) {
		if after[name] == nil && sub.accepted[name] == nil {
			missing = append(missing, name)
		}
	}
	return missing
}

// startResponse makes a planned response the pending one if it is due, and tells whether it is.
func (s *Stream) startResponse(now float64, t ResourceType, plan responsePlan) bool {
	sub := &s.subscriptions[t]
	setVersion := ""
	due := sub.isDue(plan)
	if due {
		setVersion = plan.after.Version()
	}
	if !due || sub.rejectedSetVersion == setVersion {
		if plan.complete && sub.accepted.Equal(plan.after) {
			sub.acceptedSequence = s.target.sequence[t]
		}
		return false
	}
	if !s.Delta && !t.isFullyListed() && len(plan.changed) == 0 && !sub.firstResponseDue {
		// Only removals: the sidecar drops these by itself once nothing refers to them.
		sub.accepted = plan.after
		return false
	}
	s.responseCount++
	sub.firstResponseDue = false
	sub.lastNonce = fmt.Sprintf("%d-%d-%d", s.ID, t, s.responseCount)
	sub.pending = &pendingResponse{
		nonce:      sub.lastNonce,
		sentAt:     now,
		after:      plan.after,
		changed:    plan.changed,
		setVersion: setVersion,
	}
	if plan.complete {
		sub.pending.sequence = s.target.sequence[t]
	}
	clear(sub.unansweredNames)
	return true
}

// isDue tells whether a planned response has something to tell, or is the first of its type.
func (sub *subscription) isDue(plan responsePlan) bool {
	if len(plan.changed)+len(plan.removed)+len(plan.missing) > 0 {
		return true
	}
	return sub.firstResponseDue && (sub.wildcard || len(plan.after) > 0)
}
