package follow

import (
	"errors"
	"fmt"
	"maps"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"

	"harehook.dev/harehook/records"
)

// Why a follower leaves a member.
var (
	ErrOlder    = errors.New("the member offers an older revision than the one held")
	ErrConflict = errors.New("the member offers other contents for the revision held")
)

// Check says why a follower can't use records. It is handed all that it would hold, and must not keep the map.
type Check func(revision uint64, held map[records.Key]*records.Record) error

// Follower is the part of a conductor that follows the group: what it holds, and what it answers. It is not safe for
// concurrent use.
type Follower struct {
	name       string
	scope      records.Scope
	lease      time.Duration
	check      Check
	revision   uint64
	held       map[records.Key]*records.Record
	leaseUntil time.Time

	Accepted, Refused uint64
}

// NewFollower makes one that holds nothing. The lease has to be that of the members.
func NewFollower(name string, scope records.Scope, lease time.Duration, check Check) *Follower {
	return &Follower{name: name, scope: scope.Normal(), lease: lease, check: check, held: map[records.Key]*records.Record{}}
}

// Revision is the one held, 0 if none.
func (f *Follower) Revision() uint64 { return f.revision }

// Held gives the records held. The map must not be changed; the next accepted offer replaces or changes it.
func (f *Follower) Held() map[records.Key]*records.Record { return f.held }

// Stale tells whether the lease has run out: what is held goes on to be used, but may be out of date.
func (f *Follower) Stale(now time.Time) bool { return !now.Before(f.leaseUntil) }

// RenewEvery is how often a follower has to be heard for its lease not to run out after one loss.
func (f *Follower) RenewEvery() time.Duration { return f.lease / 3 }

// Begin is the first request of a new stream.
func (f *Follower) Begin() *discoveryv3.DeltaDiscoveryRequest {
	return Hello{Name: f.name, Scope: f.scope, Revision: f.revision}.request()
}

// Renew is a request that renews the lease.
func (f *Follower) Renew() *discoveryv3.DeltaDiscoveryRequest {
	return &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL}
}

// Receive takes a response. The reply, if there is one, is to be sent; accepted tells whether what is held has become
// another revision. After an error the stream is to be ended and another member asked.
func (f *Follower) Receive(now time.Time, response *discoveryv3.DeltaDiscoveryResponse) (reply *discoveryv3.DeltaDiscoveryRequest, accepted bool, err error) {
	offer, err := parseOffer(response)
	if err != nil {
		return f.refuse(response.GetNonce(), err), false, nil
	}
	if offer.Nonce == "" {
		f.leaseUntil = now.Add(f.lease)
		return nil, false, nil
	}
	if offer.Revision < f.revision {
		return nil, false, fmt.Errorf("%w: %d, held is %d", ErrOlder, offer.Revision, f.revision)
	}
	next := f.after(offer)
	if offer.Revision == f.revision && !same(next, f.held) {
		return nil, false, fmt.Errorf("%w: %d", ErrConflict, offer.Revision)
	}
	f.leaseUntil = now.Add(f.lease)
	if f.check != nil && (offer.Whole || len(offer.Records)+len(offer.Removed) > 0) {
		if reason := f.check(offer.Revision, next); reason != nil {
			return f.refuse(offer.Nonce, reason), false, nil
		}
	}
	accepted = offer.Revision > f.revision
	f.revision, f.held = offer.Revision, next
	f.Accepted++
	return &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL, ResponseNonce: offer.Nonce}, accepted, nil
}

// refuse answers an offer that can't be used; what was held stays.
func (f *Follower) refuse(nonce string, reason error) *discoveryv3.DeltaDiscoveryRequest {
	f.Refused++
	return &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL, ResponseNonce: nonce,
		ErrorDetail: &rpc.Status{Code: int32(codes.InvalidArgument), Message: reason.Error()}}
}

// after is what would be held if an offer was accepted. What touches nothing of the scope leaves the map as it is.
func (f *Follower) after(offer Offer) map[records.Key]*records.Record {
	if !offer.Whole && len(offer.Records)+len(offer.Removed) == 0 {
		return f.held
	}
	next := map[records.Key]*records.Record{}
	if !offer.Whole {
		next = maps.Clone(f.held)
	}
	for _, record := range offer.Records {
		next[record.Key] = record
	}
	for _, key := range offer.Removed {
		delete(next, key)
	}
	return next
}

func same(a, b map[records.Key]*records.Record) bool {
	return maps.EqualFunc(a, b, func(x, y *records.Record) bool { return x.Revision == y.Revision && x.SameContent(y) })
}
