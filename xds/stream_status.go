package xds

import (
	"slices"

	"google.golang.org/protobuf/types/known/anypb"
)

// ResourceStatus is the state of one resource at one sidecar.
type ResourceStatus struct {
	Type           ResourceType
	Name           string
	Accepted       string  // version, empty if none
	Target         string  // version, empty if the resource is to be removed
	PendingSeconds float64 // since a response with it was sent that is not answered; 0: there is none
	Rejection      *Rejection
	Body           *anypb.Any // of the target
}

// Resources lists all that a sidecar has accepted or is to have, by type and name.
func (s *Stream) Resources(now float64) (all []ResourceStatus) {
	for t := range NumResourceTypes {
		sub := &s.subscriptions[t]
		if !sub.subscribed {
			continue
		}
		wanted := ResourceSet{}
		if s.target != nil {
			wanted = sub.wanted(s.target.Sets[t])
		}
		names := map[string]bool{}
		for name := range wanted {
			names[name] = true
		}
		for name := range sub.accepted {
			names[name] = true
		}
		for _, name := range sortedKeys(names) {
			all = append(all, sub.resourceStatus(now, t, name, wanted[name]))
		}
		if rejection, rejected := sub.rejections[wildcard]; rejected {
			all = append(all, ResourceStatus{
				Type:      t,
				Name:      wildcard,
				Accepted:  sub.accepted.Version(),
				Target:    wanted.Version(),
				Rejection: &rejection,
			})
		}
	}
	return all
}

// resourceStatus returns the state of one resource; target is nil if it is to be removed.
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
