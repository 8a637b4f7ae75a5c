package configsync

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

// Why a member ends a stream.
var (
	ErrFollowerTimeout = errors.New("the follower was not heard for a lease's time")
	ErrReplaced        = errors.New("the follower has opened another stream")
	ErrTooLarge        = errors.New("what the follower is to be told is larger than a message may be: it needs a smaller scope")
)

// Stream is the connection of one follower to a member. There is at most one response that is not yet answered, so
// that what comes meanwhile is told as one change.
type Stream struct {
	server        *Server
	handshake     Handshake
	handshakeDone bool // its first request has come
	replaced      bool
	heartbeatDue  bool // one is owed
	lastRequestAt time.Time

	acceptedRevision uint64 // revision that the follower has accepted
	awaitingAnswer   bool   // for the answer to an offer
	sentRevision     uint64
	nonce            string
	updateCount      uint64 // of offers

	rejectedRevision uint64 // revision that the follower refused last
	retryAt          time.Time
}

// Name is the follower's; empty until its first request came.
func (st *Stream) Name() string { return st.handshake.Name }

// Send gives the next message for a stream, nil if there is none. Then wait says when to ask again at the latest,
// although nothing came or was committed. After an error the stream is to be ended.
func (st *Stream) Send(now time.Time) (response *discoveryv3.DeltaDiscoveryResponse, wait time.Duration, err error) {
	limits := st.server.limits
	if st.replaced {
		return nil, 0, ErrReplaced
	}
	silent := now.Sub(st.lastRequestAt)
	if silent >= limits.Lease {
		return nil, 0, ErrFollowerTimeout
	}
	wait = limits.Lease - silent
	if !st.handshakeDone {
		return nil, wait, nil
	}
	if st.heartbeatDue {
		st.heartbeatDue = false
		st.server.Counts.Heartbeats++
		response, err = Update{Revision: st.acceptedRevision}.response()
		return response, 0, err
	}
	offer, later := st.nextUpdate(now)
	if offer == nil {
		if later > 0 {
			wait = min(wait, later)
		}
		return nil, wait, nil
	}
	return st.sendUpdate(offer)
}

// sendUpdate gives an offer its nonce and books it.
func (st *Stream) sendUpdate(offer *Update) (*discoveryv3.DeltaDiscoveryResponse, time.Duration, error) {
	st.updateCount++
	st.nonce = strconv.FormatUint(st.updateCount, 10)
	st.sentRevision, st.awaitingAnswer = offer.Revision, true
	offer.Nonce = st.nonce
	response, err := offer.response()
	if err != nil {
		return nil, 0, err
	}
	bytes := encodedBytes(response)
	if offer.FullScope {
		st.server.limiter.charge(st, float64(bytes)) // also if it is too large: making it costs as much
	}
	if bytes > st.server.limits.MaxMessage {
		return nil, 0, fmt.Errorf("%w: %d bytes, %d at most", ErrTooLarge, bytes, st.server.limits.MaxMessage)
	}
	st.server.Counts.addSent(offer, bytes)
	return response, 0, nil
}

// nextUpdate is what the follower is to be offered, nil if nothing now; later, if it is not 0, says when to ask again.
func (st *Stream) nextUpdate(now time.Time) (offer *Update, later time.Duration) {
	source := st.server.source
	revision := source.Revision()
	if st.awaitingAnswer || revision <= st.acceptedRevision {
		// A follower that has seen more than this member waits until the member has caught up.
		return nil, 0
	}
	if revision == st.rejectedRevision && now.Before(st.retryAt) {
		return nil, st.retryAt.Sub(now)
	}
	if st.acceptedRevision > 0 {
		if delta := source.Since(st.acceptedRevision, st.handshake.Scope); delta.Available {
			return newDelta(st.handshake.Scope, delta), 0
		}
	}
	if wait := st.server.limiter.acquire(now, st); wait > 0 {
		return nil, wait
	}
	view := source.InScope(st.handshake.Scope)
	return &Update{Revision: view.Revision, RoutingRevision: view.RoutingRevision, FullScope: true, Records: view.Records}, 0
}

// newDelta makes an offer of what differs in a scope.
func newDelta(scope records.Scope, delta records.Delta) *Update {
	offer := &Update{Revision: delta.Revision, RoutingRevision: delta.RoutingRevision}
	for _, update := range delta.Updates {
		switch {
		case scope.Contains(update.After):
			offer.Records = append(offer.Records, update.After)
		case scope.Contains(update.Before):
			offer.Removed = append(offer.Removed, update.Before.Key)
		}
	}
	return offer
}
