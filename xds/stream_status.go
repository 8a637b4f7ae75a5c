package xds

import (
	"slices"

	"google.golang.org/protobuf/types/known/anypb"
)

// ResourceStatus describes the state of one resource at one sidecar.
type ResourceStatus struct {
	Type           ResourceType
	Name           string
	Accepted       string  // accepted version; empty if none
	Target         string  // target version; empty if the resource must be removed
	PendingSeconds float64 // since the pending response with the resource was sent; 0 if there is none
	Rejection      *Rejection
	Body           *anypb.Any // of the target version
}

// Resources returns the status of all resources that the sidecar has accepted or should have, sorted by type and name.
func (s *Stream) Resources(now float64) (statuses []ResourceStatus) {
	for t := range NumResourceTypes {
		sub := &s.subscriptions[t]
		if !sub.subscribed {
			continue
		}
		targetSet := ResourceSet{}
		if s.target != nil {
			targetSet = sub.filterSubscribed(s.target.Sets[t])
		}
		names := map[string]bool{}
		for name := range targetSet {
			names[name] = true
		}
		for name := range sub.accepted {
			names[name] = true
		}
		for _, name := range sortedKeys(names) {
			statuses = append(statuses, sub.resourceStatus(now, t, name, targetSet[name]))
		}
		if rejection, rejected := sub.rejections[wildcard]; rejected {
			statuses = append(statuses, ResourceStatus{
				Type:      t,
				Name:      wildcard,
				Accepted:  sub.accepted.Version(),
				Target:    targetSet.Version(),
				Rejection: &rejection,
			})
		}
	}
	return statuses
}

// resourceStatus returns the status of one resource; target is nil if the resource must be removed.
func (sub *subscription) resourceStatus(now float64, t ResourceType, name string, target *Resource) ResourceStatus {
	status := ResourceStatus{Type: t, Name: name}
	if accepted := sub.accepted[name]; accepted != nil {
		status.Accepted = accepted.Version
	}
	if target != nil {
		status.Target = target.Version
		status.Body = target.Body
	}
	if sub.pending != nil && slices.Contains(sub.pending.changed, name) {
		status.PendingSeconds = now - sub.pending.sentAt
	}
	if rejection, rejected := sub.rejections[name]; rejected {
		status.Rejection = &rejection
	}
	return status
}
