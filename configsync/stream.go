package configsync

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

// Errors after which a member must end a stream. [Stream.Send] returns them, and [Server.Receive] returns ErrReplaced.
var (
	ErrFollowerTimeout = errors.New("no request from the follower within the lease duration")
	ErrReplaced        = errors.New("stream replaced by a later stream of the same follower")
	ErrTooLarge        = errors.New("update exceeds the maximum message size; the follower needs a smaller scope")
)

// Stream is the connection of one follower to a member. At most one update is unanswered, so that revisions committed
// in the meantime are sent as one delta.
type Stream struct {
	server        *Server
	handshake     Handshake
	handshakeDone bool
	replaced      bool // by a later stream of the same follower
	heartbeatDue  bool
	lastRequestAt time.Time

	acceptedRevision uint64
	awaitingAnswer   bool   // to the last sent update
	sentRevision     uint64 // of that update
	nonce            string // of that update
	updateCount      uint64

	rejectedRevision uint64    // the last rejected revision, 0 if there is none
	retryAt          time.Time // time at which it may be sent again
}

// Name returns the follower's name; it is empty until the first request.
func (st *Stream) Name() string { return st.handshake.Name }

// Send returns the next message for a stream, or nil if there is none. In that case wait is the maximum time after
// which the caller must call Send again, even if there was no request or commit. After an error ([ErrFollowerTimeout],
// [ErrReplaced], [ErrTooLarge]) the caller must end the stream.
func (st *Stream) Send(now time.Time) (response *discoveryv3.DeltaDiscoveryResponse, wait time.Duration, err error) {
	if st.replaced {
		return nil, 0, ErrReplaced
	}
	lease := st.server.limits.Lease
	sinceRequest := now.Sub(st.lastRequestAt)
	if sinceRequest >= lease {
		return nil, 0, ErrFollowerTimeout
	}
	wait = lease - sinceRequest
	if !st.handshakeDone {
		return nil, wait, nil
	}
	if st.heartbeatDue {
		st.heartbeatDue = false
		st.server.Counts.Heartbeats++
		response, err = Update{Revision: st.acceptedRevision}.response()
		return response, 0, err
	}
	update, retryAfter := st.nextUpdate(now)
	if update == nil {
		if retryAfter > 0 {
			wait = min(wait, retryAfter)
		}
		return nil, wait, nil
	}
	response, err = st.sendUpdate(update)
	return response, 0, err
}

// sendUpdate sets the nonce of an update, encodes it and counts it.
func (st *Stream) sendUpdate(update *Update) (*discoveryv3.DeltaDiscoveryResponse, error) {
	st.updateCount++
	st.nonce = strconv.FormatUint(st.updateCount, 10)
	st.sentRevision = update.Revision
	st.awaitingAnswer = true
	update.Nonce = st.nonce
	response, err := update.response()
	if err != nil {
		return nil, err
	}
	bytes := encodedBytes(response)
	if update.FullScope {
		st.server.limiter.charge(st, float64(bytes)) // even if it is too large, since it was encoded at the same cost
	}
	if maxMessage := st.server.limits.MaxMessage; bytes > maxMessage {
		return nil, fmt.Errorf("%w: got %d bytes, maximum %d", ErrTooLarge, bytes, maxMessage)
	}
	st.server.Counts.addSent(update, bytes)
	return response, nil
}

// nextUpdate returns the next update, or nil if none is due. In that case a nonzero retryAfter is the delay after which
// one may be due.
func (st *Stream) nextUpdate(now time.Time) (update *Update, retryAfter time.Duration) {
	source := st.server.source
	revision := source.Revision()
	if st.awaitingAnswer || revision <= st.acceptedRevision {
		// The follower may have accepted a later revision at another member. In that case no update is due until this
		// member has applied a newer one.
		return nil, 0
	}
	if revision == st.rejectedRevision && now.Before(st.retryAt) {
		return nil, st.retryAt.Sub(now)
	}
	scope := st.handshake.Scope
	if st.acceptedRevision > 0 {
		delta := source.Since(st.acceptedRevision, scope)
		if delta.Available {
			return newDelta(scope, delta), 0
		}
	}
	if wait := st.server.limiter.acquire(now, st); wait > 0 {
		return nil, wait
	}
	view := source.InScope(scope)
	return &Update{Revision: view.Revision, RoutingRevision: view.RoutingRevision, FullScope: true, Records: view.Records}, 0
}

// newDelta returns the update for the changes in a scope. It removes records that left the scope.
func newDelta(scope records.Scope, delta records.Delta) *Update {
	update := &Update{Revision: delta.Revision, RoutingRevision: delta.RoutingRevision}
	for _, change := range delta.Updates {
		switch {
		case scope.Contains(change.After):
			update.Records = append(update.Records, change.After)
		case scope.Contains(change.Before):
			update.Removed = append(update.Removed, change.Before.Key)
		}
	}
	return update
}
