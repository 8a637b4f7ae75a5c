package xds

import (
	"google.golang.org/genproto/googleapis/rpc/status"
)

// Stream is one aggregated stream of one sidecar. It tracks the sidecar's subscriptions, the pending responses, and the
// resources that the sidecar has accepted or rejected, and returns the next response that is due. At most one response
// of each type is unanswered, so that responses do not queue up for a slow client: its next response has the newest
// state.
type Stream struct {
	ID    uint64
	Delta bool // delta variant if true, otherwise state of the world

	target        *Snapshot // nil until it is set
	subscriptions [NumResourceTypes]subscription
	responseCount uint64

	// Unmatched counts the answers to a response that is not pending, Rejected the NACKs and Accepted the ACKs.
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

// SetTarget sets the snapshot that the sidecar should have. If it is that of another routing table than before, the
// accepted sequences are reset, because the sequences of two tables are not comparable.
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

// handleAnswer handles an ACK, or a NACK if errorDetail is not nil. An answer to any response but the pending one is
// unmatched: it is counted and otherwise ignored.
func (s *Stream) handleAnswer(now float64, sub *subscription, nonce string, errorDetail *status.Status) {
	answered := sub.pending
	if answered == nil || answered.nonce != nonce {
		s.Unmatched++
		return
	}
	sub.pending = nil
	if errorDetail == nil {
		s.Accepted++
		sub.accept(answered)
		return
	}
	s.Rejected++
	sub.reject(now, answered, errorDetail)
}

// HasAccepted reports whether the sidecar has accepted all resources of a type in the target at the given sequence or a
// later one. It is false for a type that the sidecar has not subscribed to yet: sidecars subscribe to one type after
// the other on a new stream, and may still have old resources of the later types.
func (s *Stream) HasAccepted(t ResourceType, sequence uint64) bool {
	sub := &s.subscriptions[t]
	return sub.subscribed && sub.acceptedSequence >= sequence
}
