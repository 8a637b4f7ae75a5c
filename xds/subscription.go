package xds

import (
	"slices"

	"google.golang.org/genproto/googleapis/rpc/status"
)

const (
	wildcard = "*"
	// maxSubscribedNames is the maximum number of names of one subscription: no valid sidecar needs more.
	maxSubscribedNames = 4096
)

// Rejection describes a version that a sidecar rejected (NACK).
type Rejection struct {
	Version, Reason string
	At              float64 // seconds
}

// subscription is the state of one resource type on a stream.
type subscription struct {
	subscribed       bool
	firstResponseDue bool // the first response is sent even if it is empty
	wildcard         bool // subscribed to all names
	names            map[string]bool
	unansweredNames  map[string]bool // subscribed to since the last response; delta reports missing ones once

	accepted         ResourceSet // accepted by an ACK, or stated in the first request
	acceptedSequence uint64      // the last sequence of the target at which all of this type was accepted
	statedVersion    string      // set version that the sidecar stated and the target does not have

	pending   *pendingResponse // nil if no response is unanswered
	lastNonce string           // nonce of the newest response

	rejections         map[string]Rejection // by name, or wildcard for a set; a rejected version is not sent again
	suspects           map[string]bool      // names in a rejected response with several resources; sent one by one
	rejectedSetVersion string               // version of a rejected set without a single resource at fault
}

// pendingResponse is a response that was sent and has not been answered.
type pendingResponse struct {
	nonce         string
	sentAt        float64     // seconds
	acceptedAfter ResourceSet // the accepted resources after an ACK
	changed       []string    // names of the resources in it
	sequence      uint64      // of the target if the response completes it, otherwise 0
	setVersion    string      // version of acceptedAfter
}

func newSubscription() subscription {
	return subscription{
		names:           map[string]bool{},
		unansweredNames: map[string]bool{},
		accepted:        ResourceSet{},
		rejections:      map[string]Rejection{},
		suspects:        map[string]bool{},
	}
}

// drop removes a resource from the accepted resources, and from those that an ACK of the pending response would make
// accepted, unless that response contains it. Otherwise the ACK of a response sent before would restore the resource.
func (sub *subscription) drop(name string) {
	delete(sub.accepted, name)
	if pending := sub.pending; pending != nil && !slices.Contains(pending.changed, name) {
		delete(pending.acceptedAfter, name)
	}
}

// accept handles the ACK of a response.
func (sub *subscription) accept(response *pendingResponse) {
	sub.accepted = response.acceptedAfter
	sub.statedVersion = ""
	if response.sequence > 0 {
		sub.acceptedSequence = response.sequence
	}
	for _, name := range response.changed {
		delete(sub.suspects, name)
		delete(sub.rejections, name)
	}
}

// reject handles the NACK of a response.
func (sub *subscription) reject(now float64, response *pendingResponse, errorDetail *status.Status) {
	reason := truncateText(errorDetail.GetMessage())
	switch {
	case len(response.changed) > 1:
		// A NACK does not identify the invalid resource: each one is sent in a response of its own, so that the valid
		// ones are accepted.
		for _, name := range response.changed {
			sub.suspects[name] = true
		}
	case len(response.changed) == 1 && response.acceptedAfter[response.changed[0]] != nil:
		name := response.changed[0]
		delete(sub.suspects, name)
		sub.rejections[name] = Rejection{Version: response.acceptedAfter[name].Version, Reason: reason, At: now}
	default:
		sub.rejectedSetVersion = response.setVersion
		sub.rejections[wildcard] = Rejection{Version: response.setVersion, Reason: reason, At: now}
	}
}

// filterSubscribed returns the resources of a target set to which the sidecar is subscribed.
func (sub *subscription) filterSubscribed(target ResourceSet) ResourceSet {
	filtered := ResourceSet{}
	for name, resource := range target {
		if sub.wildcard || sub.names[name] {
			filtered[name] = resource
		}
	}
	return filtered
}
