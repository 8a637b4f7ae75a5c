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
	// setVersion is the version of after; empty if the response would tell nothing, and is not the first of its type.
	setVersion string
}

// Next returns the response that is due, of the stream's variant; both are nil if none is. Types are sent in their order,
// and those after a pending one wait, so that nothing refers to what the sidecar has not.
func (s *Stream) Next(now float64) (state *discoveryv3.DiscoveryResponse, delta *discoveryv3.DeltaDiscoveryResponse) {
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
		s.learnStatedBodies(t)
		plan := s.planResponse(t)
		switch {
		case !sub.isDue(plan):
			s.markAccepted(t, plan)
			continue
		case s.isImplicitRemoval(t, plan):
			sub.accepted = plan.after
			continue
		}
		s.startResponse(now, t, plan)
		if s.Delta {
			return nil, sub.deltaResponse(t, append(plan.removed, plan.missing...))
		}
		return sub.stateOfTheWorldResponse(t), nil
	}
	return nil, nil
}

// learnStatedBodies gives accepted resources of which only the version is known, as the sidecar stated it, the body that the
// target has at that version.
func (s *Stream) learnStatedBodies(t ResourceType) {
	sub := &s.subscriptions[t]
	for name, resource := range sub.wanted(s.target.Sets[t]) {
		if sub.accepted.has(resource) && s.maySend(sub, resource) {
			sub.accepted[name] = resource
		}
	}
}

// planResponse returns what the next response of a type would bring. It changes nothing.
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
	if sub.hasNews(plan) {
		plan.setVersion = plan.after.Version()
	}
	return plan
}

// nextResources returns what a sidecar is to accept next of a type, and whether that is all of the target. It is the target
// with three exceptions: a version that the sidecar rejected on this stream is not sent again, routes wait for the clusters
// that they refer to, and clusters stay as long as accepted routes refer to them.
func (s *Stream) nextResources(t ResourceType) (next ResourceSet, complete bool) {
	sub := &s.subscriptions[t]
	next = sub.wanted(s.target.Sets[t])
	complete = true
	for name, resource := range next {
		if s.maySend(sub, resource) {
			continue
		}
		complete = false
		if accepted := sub.accepted[name]; accepted != nil {
			next[name] = accepted
		} else {
			delete(next, name)
		}
	}
	if t == Clusters || t == Endpoints {
		s.keepUsedClusters(sub, next)
	}
	return next, complete
}

// maySend tells whether the sidecar has not rejected a resource at its version, and has accepted what it refers to.
func (s *Stream) maySend(sub *subscription, resource *Resource) bool {
	rejection, rejected := sub.rejections[resource.Name]
	if rejected && rejection.Version == resource.Version {
		return false
	}
	return s.dependenciesAccepted(resource)
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

// hasNews tells whether a planned response has something to tell, or is the first of its type.
func (sub *subscription) hasNews(plan responsePlan) bool {
	if len(plan.changed)+len(plan.removed)+len(plan.missing) > 0 {
		return true
	}
	return sub.firstResponseDue && (sub.wildcard || len(plan.after) > 0)
}

// isDue tells whether a planned response has news that the sidecar has not rejected as a whole.
func (sub *subscription) isDue(plan responsePlan) bool {
	return plan.setVersion != "" && plan.setVersion != sub.rejectedSetVersion
}

// isImplicitRemoval tells whether a plan only removes resources that the sidecar drops by itself once nothing refers to them,
// so that no response is needed.
func (s *Stream) isImplicitRemoval(t ResourceType, plan responsePlan) bool {
	return !s.Delta && !t.isFullyListed() && len(plan.changed) == 0 && !s.subscriptions[t].firstResponseDue
}

// markAccepted notes that the sidecar has all of the target's type, if it has: a plan without a response may say so.
func (s *Stream) markAccepted(t ResourceType, plan responsePlan) {
	sub := &s.subscriptions[t]
	if plan.complete && sub.accepted.Equal(plan.after) {
		sub.acceptedSequence = s.target.sequence[t]
	}
}

// startResponse makes a planned response the pending one.
func (s *Stream) startResponse(now float64, t ResourceType, plan responsePlan) {
	sub := &s.subscriptions[t]
	s.responseCount++
	sub.firstResponseDue = false
	sub.lastNonce = fmt.Sprintf("%d-%d-%d", s.ID, t, s.responseCount)
	sub.pending = &pendingResponse{
		nonce:      sub.lastNonce,
		sentAt:     now,
		after:      plan.after,
		changed:    plan.changed,
		setVersion: plan.setVersion,
	}
	if plan.complete {
		sub.pending.sequence = s.target.sequence[t]
	}
	clear(sub.unansweredNames)
}
