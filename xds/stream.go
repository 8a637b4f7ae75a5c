package xds

import (
	"google.golang.org/genproto/googleapis/rpc/status"
)

// Stream is one aggregated stream of one sidecar. It knows what the sidecar has subscribed to, was sent, has accepted and
// has rejected, and returns the next response of each type. At most one response of a type is unanswered, so that for a
// slow reader only the newest state waits.
type Stream struct {
	ID    uint64
	Delta bool // variant: delta, else state of the world

	target        *Snapshot // nil: not known yet
	subscriptions [NumResourceTypes]subscription
	responseCount uint64

	// Unmatched counts answers to a response that is not pending, Rejected NACKs and Accepted ACKs.
	Unmatched, Rejected, Accepted uint64
}

// NewStream returns a stream without subscriptions and without a target.
func NewStream(id uint64, delta bool) *Stream {
	s := &Stream{ID: id, Delta: delta}
	for t := range s.subscriptions {
		s.subscriptions[t] = newSubscription()
	}
	return s
}

// SetTarget sets what the sidecar is to have. The sequences of another routing table say nothing of this one's.
func (s *Stream) SetTarget(target *Snapshot, otherTable bool) {
	s.target = target
	if !otherTable {
		return
	}
	for t := range s.subscriptions {
		sub := &s.subscriptions[t]
		sub.acceptedSequence = 0
		if sub.pending != nil {
			sub.pending.sequence = 0
		}
	}
}

// handleAnswer handles an ACK, or a NACK if there is a fault. An answer to another response than the pending one
// is unmatched: it only counts.
func (s *Stream) handleAnswer(now float64, sub *subscription, nonce string, fault *status.Status) {
	answered := sub.pending
	if answered == nil || answered.nonce != nonce {
		s.Unmatched++
		return
	}
	sub.pending = nil
	if fault == nil {
		s.Accepted++
		sub.accept(answered)
		return
	}
	s.Rejected++
	sub.reject(now, answered, fault)
}

// Holds tells whether the sidecar has accepted all of a type that the target had at a sequence, or at a later one. A type
// that it has not subscribed to yet is not accepted: a new stream subscribes to one type after the other, and its sidecar
// may still have old resources.
func (s *Stream) Holds(t ResourceType, sequence uint64) bool {
	sub := &s.subscriptions[t]
	return sub.subscribed && sub.acceptedSequence >= sequence
}
