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
	ErrSilent   = errors.New("the follower was not heard for a lease's time")
	ErrReplaced = errors.New("the follower has opened another stream")
	ErrTooLarge = errors.New("what the follower is to be told is larger than a message may be: it needs a smaller scope")
)

// Stream is the connection of one follower to a member. There is at most one response that is not yet answered, so
// that what comes meanwhile is told as one change.
type Stream struct {
	server    *Server
	hello     Handshake
	open      bool // its first request has come
	replaced  bool
	heartbeat bool // one is owed
	heardAt   time.Time

	held    uint64 // revision that the follower has accepted
	waiting bool   // for the answer to an offer
	offered uint64
	nonce   string
	count   uint64 // of offers

	refused uint64 // revision that the follower refused last
	retryAt time.Time
}

// Name is the follower's; empty until its first request came.
func (st *Stream) Name() string { return st.hello.Name }

// Send gives the next message for a stream, nil if there is none. Then wait says when to ask again at the latest,
// although nothing came or was committed. After an error the stream is to be ended.
func (st *Stream) Send(now time.Time) (response *discoveryv3.DeltaDiscoveryResponse, wait time.Duration, err error) {
	limits := st.server.limits
	if st.replaced {
		return nil, 0, ErrReplaced
	}
	silent := now.Sub(st.heardAt)
	if silent >= limits.Lease {
		return nil, 0, ErrSilent
	}
	wait = limits.Lease - silent
	if !st.open {
		return nil, wait, nil
	}
	if st.heartbeat {
		st.heartbeat = false
		st.server.Counts.Heartbeats++
		response, err = Update{Revision: st.held}.response()
		return response, 0, err
	}
	offer, later := st.next(now)
	if offer == nil {
		if later > 0 {
			wait = min(wait, later)
		}
		return nil, wait, nil
	}
	return st.send(offer)
}

// send gives an offer its nonce and books it.
func (st *Stream) send(offer *Update) (*discoveryv3.DeltaDiscoveryResponse, time.Duration, error) {
	st.count++
	st.nonce = strconv.FormatUint(st.count, 10)
	st.offered, st.waiting = offer.Revision, true
	offer.Nonce = st.nonce
	response, err := offer.response()
	if err != nil {
		return nil, 0, err
	}
	bytes := size(response)
	if offer.FullScope {
		st.server.whole.spend(st, float64(bytes)) // also if it is too large: making it costs as much
	}
	if bytes > st.server.limits.MaxMessage {
		return nil, 0, fmt.Errorf("%w: %d bytes, %d at most", ErrTooLarge, bytes, st.server.limits.MaxMessage)
	}
	st.server.Counts.sent(offer, bytes)
	return response, 0, nil
}

// next is what the follower is to be offered, nil if nothing now; later, if it is not 0, says when to ask again.
func (st *Stream) next(now time.Time) (offer *Update, later time.Duration) {
	source := st.server.source
	revision := source.Revision()
	if st.waiting || revision <= st.held {
		// A follower that has seen more than this member waits until the member has caught up.
		return nil, 0
	}
	if revision == st.refused && now.Before(st.retryAt) {
		return nil, st.retryAt.Sub(now)
	}
	if st.held > 0 {
		if delta := source.Since(st.held, st.hello.Scope); delta.Available {
			return changes(st.hello.Scope, delta), 0
		}
	}
	if wait := st.server.whole.take(now, st); wait > 0 {
		return nil, wait
	}
	view := source.InScope(st.hello.Scope)
	return &Update{Revision: view.Revision, RoutingRevision: view.RoutingRevision, FullScope: true, Records: view.Records}, 0
}

// changes makes an offer of what differs in a scope.
func changes(scope records.Scope, delta records.Delta) *Update {
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
