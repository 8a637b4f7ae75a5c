package xds

import (
	"slices"

	"google.golang.org/genproto/googleapis/rpc/status"
)

const (
	wildcard = "*"
	// maxSubscribedNames is the maximum of names of one subscription: a client with more is no sidecar.
	maxSubscribedNames = 4096
)

// Rejection is a version that a sidecar rejected (NACK), and its reason.
type Rejection struct {
	Version, Reason string
	At              float64 // seconds
}

// subscription is what a stream knows of one resource type.
type subscription struct {
	subscribed       bool
	firstResponseDue bool // even an empty one
	wildcard         bool // all names
	names            map[string]bool
	unansweredNames  map[string]bool // subscribed to since the last response; delta tells once which do not exist

	accepted         ResourceSet // by ACK, or stated when the stream began
	acceptedSequence uint64      // of the target's type, as far as all of it was accepted
	statedVersion    string      // of a set, stated by the sidecar and not known here

	pending   *pendingResponse // at most one response is unanswered
	lastNonce string           // of the newest response

	rejections         map[string]Rejection // by name, wildcard for a set; such a version is not sent again
	suspects           map[string]bool      // names of a response that was rejected as a whole: sent one by one
	rejectedSetVersion string               // of a rejected response in which no single resource is at fault
}

// pendingResponse is a response that was sent and not answered.
type pendingResponse struct {
	nonce      string
	sentAt     float64     // seconds
	after      ResourceSet // what is accepted after an ACK
	changed    []string    // names of the resources in it
	sequence   uint64      // of the target if it brings all of it, else 0
	setVersion string      // of after
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

// drop removes a resource from the accepted ones. It is also removed from what is accepted after the pending response
// unless that response brings it: else an ACK of what was sent before would make it accepted again.
func (sub *subscription) drop(name string) {
	delete(sub.accepted, name)
	if pending := sub.pending; pending != nil && !slices.Contains(pending.changed, name) {
		delete(pending.after, name)
	}
}

// accept handles the ACK of a response.
func (sub *subscription) accept(response *pendingResponse) {
	sub.accepted = response.after
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
func (sub *subscription) reject(now float64, response *pendingResponse, fault *status.Status) {
	reason := truncateReason(fault.GetMessage())
	switch {
	case len(response.changed) > 1:
		// The NACK does not tell which resource is at fault: each is sent by itself, so that the others are accepted.
		for _, name := range response.changed {
			sub.suspects[name] = true
		}
	case len(response.changed) == 1 && response.after[response.changed[0]] != nil:
		name := response.changed[0]
		delete(sub.suspects, name)
		sub.rejections[name] = Rejection{Version: response.after[name].Version, Reason: reason, At: now}
	default:
		sub.rejectedSetVersion = response.setVersion
		sub.rejections[wildcard] = Rejection{Version: response.setVersion, Reason: reason, At: now}
	}
}

// wanted returns the resources of a target set that are subscribed to.
func (sub *subscription) wanted(target ResourceSet) ResourceSet {
	wanted := ResourceSet{}
	for name, resource := range target {
		if sub.wildcard || sub.names[name] {
			wanted[name] = resource
		}
	}
	return wanted
}
