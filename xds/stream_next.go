package xds

import (
	"fmt"
	"maps"
	"slices"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// responsePlan describes the next response of a type.
type responsePlan struct {
	acceptedAfter ResourceSet // the accepted resources after an ACK of the response
	complete      bool        // acceptedAfter includes all of the target
	changed       []string    // names that the sidecar has accepted at another version or not at all
	removed       []string    // accepted names that the sidecar must drop
	missing       []string    // subscribed names that do not exist; delta only
	// setVersion is the version of acceptedAfter. It is empty if the response would contain no change and is not the
	// first of its type.
	setVersion string
}

// Next returns the next response in the variant of the stream; both results are nil if none is due. Types are sent in
// order, and a pending response delays all later types, so that no resource references one that the sidecar does not
// have.
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
			s.handleStatedVersion(t, sub.statedVersion) // it may have been stated before the target was set
		}
		s.fillStatedBodies(t)
		plan := s.planResponse(t)
		switch {
		case !sub.isDue(plan):
			s.markAccepted(t, plan)
			continue
		case s.isImplicitRemoval(t, plan):
			sub.accepted = plan.acceptedAfter
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

// fillStatedBodies adds the missing bodies of accepted resources for which the sidecar stated only the version. It
// takes them from the target, if the target has the same version.
func (s *Stream) fillStatedBodies(t ResourceType) {
	sub := &s.subscriptions[t]
	for name, resource := range sub.filterSubscribed(s.target.Sets[t]) {
		if sub.accepted.has(resource) && s.maySend(sub, resource) {
			sub.accepted[name] = resource
		}
	}
}

// planResponse returns the plan of the next response of a type. It does not modify the stream.
func (s *Stream) planResponse(t ResourceType) responsePlan {
	sub := &s.subscriptions[t]
	acceptedAfter, complete := s.nextResources(t)
	plan := responsePlan{acceptedAfter: acceptedAfter, complete: complete}
	for _, name := range sortedKeys(acceptedAfter) {
		if !sub.accepted.has(acceptedAfter[name]) {
			plan.changed = append(plan.changed, name)
		}
	}
	for _, name := range sortedKeys(sub.accepted) {
		if acceptedAfter[name] == nil {
			plan.removed = append(plan.removed, name)
		}
	}
	sub.isolateSuspect(&plan)
	if s.Delta {
		plan.missing = sub.missingNames(plan.acceptedAfter)
	}
	if sub.hasContent(plan) {
		plan.setVersion = plan.acceptedAfter.Version()
	}
	return plan
}

// nextResources returns the resources of a type that the sidecar should have after the next response, and whether they
// include all of the target. They are those of the target with three exceptions: a version that the sidecar rejected on
// this stream is not sent again, routes wait until the clusters that they reference are accepted, and clusters remain
// as long as accepted routes reference them.
func (s *Stream) nextResources(t ResourceType) (next ResourceSet, complete bool) {
	sub := &s.subscriptions[t]
	next = sub.filterSubscribed(s.target.Sets[t])
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

// maySend reports whether a resource can be sent: the sidecar has not rejected its version, and has accepted the
// resources that it references.
func (s *Stream) maySend(sub *subscription, resource *Resource) bool {
	rejection, rejected := sub.rejections[resource.Name]
	if rejected && rejection.Version == resource.Version {
		return false
	}
	return s.dependenciesAccepted(resource)
}

// keepUsedClusters adds the accepted resources of clusters that accepted routes may reference. In state of the world, a
// resource without a known body cannot be kept, because the response would have to list it.
func (s *Stream) keepUsedClusters(sub *subscription, next ResourceSet) {
	for name, accepted := range sub.accepted {
		if next[name] == nil && s.mayUseCluster(name) && (s.Delta || accepted.Body != nil) {
			next[name] = accepted
		}
	}
}

// mayUseCluster reports whether accepted routes may reference a cluster. Routes without a known body may reference any.
func (s *Stream) mayUseCluster(cluster string) bool {
	for _, routes := range s.subscriptions[Routes].accepted {
		if routes.Body == nil || slices.Contains(routes.Clusters, cluster) {
			return true
		}
	}
	return false
}

// dependenciesAccepted reports whether the sidecar has accepted the clusters that a resource references, and their
// endpoints.
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

// isolateSuspect reduces a plan with several changed resources to the first suspect among them, if any. A NACK of the
// response then identifies the invalid resource.
func (sub *subscription) isolateSuspect(plan *responsePlan) {
	if len(plan.changed) < 2 {
		return
	}
	index := slices.IndexFunc(plan.changed, func(name string) bool { return sub.suspects[name] })
	if index < 0 {
		return
	}
	suspect := plan.changed[index]
	acceptedAfter := maps.Clone(sub.accepted)
	acceptedAfter[suspect] = plan.acceptedAfter[suspect]
	*plan = responsePlan{acceptedAfter: acceptedAfter, changed: []string{suspect}}
}

// missingNames returns the names that were subscribed to since the last response and have no resource.
func (sub *subscription) missingNames(acceptedAfter ResourceSet) (missing []string) {
	for _, name := range sortedKeys(sub.unansweredNames) {
		if acceptedAfter[name] == nil && sub.accepted[name] == nil {
			missing = append(missing, name)
		}
	}
	return missing
}

// hasContent reports whether a planned response contains a change or is the first of its type.
func (sub *subscription) hasContent(plan responsePlan) bool {
	if len(plan.changed)+len(plan.removed)+len(plan.missing) > 0 {
		return true
	}
	return sub.firstResponseDue && (sub.wildcard || len(plan.acceptedAfter) > 0)
}

// isDue reports whether a planned response must be sent: it has content, and the sidecar has not rejected this set as a
// whole.
func (sub *subscription) isDue(plan responsePlan) bool {
	return plan.setVersion != "" && plan.setVersion != sub.rejectedSetVersion
}

// isImplicitRemoval reports whether a plan only removes resources that the sidecar drops on its own when no resource
// references them any more, so that no response is needed.
func (s *Stream) isImplicitRemoval(t ResourceType, plan responsePlan) bool {
	return !s.Delta && !t.isFullyListed() && len(plan.changed) == 0 && !s.subscriptions[t].firstResponseDue
}

// markAccepted handles a plan for which no response is due. If the accepted resources of the type are already those of
// the target, it sets the accepted sequence to that of the target.
func (s *Stream) markAccepted(t ResourceType, plan responsePlan) {
	sub := &s.subscriptions[t]
	if plan.complete && sub.accepted.Equal(plan.acceptedAfter) {
		sub.acceptedSequence = s.target.sequence[t]
	}
}

// startResponse makes the planned response the pending response.
func (s *Stream) startResponse(now float64, t ResourceType, plan responsePlan) {
	sub := &s.subscriptions[t]
	s.responseCount++
	sub.firstResponseDue = false
	sub.lastNonce = fmt.Sprintf("%d-%d-%d", s.ID, t, s.responseCount)
	sub.pending = &pendingResponse{
		nonce:         sub.lastNonce,
		sentAt:        now,
		acceptedAfter: plan.acceptedAfter,
		changed:       plan.changed,
		setVersion:    plan.setVersion,
	}
	if plan.complete {
		sub.pending.sequence = s.target.sequence[t]
	}
	clear(sub.unansweredNames)
}
