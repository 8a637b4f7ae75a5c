package configsync

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
	ErrOlderRevision      = errors.New("the member offers an older revision than the one held")
	ErrConflictingContent = errors.New("the member offers other contents for the revision held")
)

// errNoBaseRevision is why a change is refused that can't be applied to anything.
var errNoBaseRevision = errors.New("a change was offered, but nothing is held")

// Validator says why a follower can't use records. It is handed all that it would hold, and must not keep the map.
type Validator func(revision uint64, held map[records.Key]*records.Record) error

// Follower is the part of a conductor that follows the group: what it holds, and what it answers. It is not safe for
// concurrent use.
type Follower struct {
	name            string
	scope           records.Scope
	lease           time.Duration
	validate        Validator
	revision        uint64
	routingRevision uint64
	records         map[records.Key]*records.Record
	renewalSentAt   time.Time // when the oldest request was sent that no heartbeat has answered yet; zero: none
	leaseUntil      time.Time

	Accepted, Rejected uint64
}

// NewFollower makes one that holds nothing. The lease has to be that of the members.
func NewFollower(name string, scope records.Scope, lease time.Duration, check Validator) *Follower {
	return &Follower{name: name, scope: scope.Normalized(), lease: lease, validate: check, records: map[records.Key]*records.Record{}}
}

// Revision is the one held, 0 if none.
func (f *Follower) Revision() uint64 { return f.revision }

// RoutingRevision is the revision at which a route of the scope last changed, as of the revision held. It never goes down,
// also where a member tells a lower one, as members may that have restored a snapshot without it: sidecars refuse routes of
// a lower number than they hold.
func (f *Follower) RoutingRevision() uint64 { return f.routingRevision }

// Records gives the records held. The map must not be changed and is good until the next Receive, which changes it in
// place; who needs it for longer clones it.
func (f *Follower) Records() map[records.Key]*records.Record { return f.records }

// Stale tells whether the lease has run out: what is held goes on to be used, but may be out of date.
func (f *Follower) Stale(now time.Time) bool { return !now.Before(f.leaseUntil) }

// RenewInterval is how often a follower has to be heard for its lease not to run out after one loss.
func (f *Follower) RenewInterval() time.Duration { return f.lease / 3 }

// Begin is the first request of a new stream, sent now. Responses of earlier streams must not be handed in any more.
func (f *Follower) Begin(now time.Time) *discoveryv3.DeltaDiscoveryRequest {
	f.renewalSentAt = now
	return Handshake{Name: f.name, Scope: f.scope, Revision: f.revision}.request()
}

// Renew is a request that renews the lease, sent now. It is due every RenewEvery, also between answers to offers.
func (f *Follower) Renew(now time.Time) *discoveryv3.DeltaDiscoveryRequest {
	if f.renewalSentAt.IsZero() {
		f.renewalSentAt = now
	}
	return &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL}
}

// Receive takes a response of the stream that the last Begin began. The reply, if there is one, is to be sent; accepted
// tells whether what is held has become another revision. After an error the stream is to be ended and another member
// asked.
func (f *Follower) Receive(_ time.Time, response *discoveryv3.DeltaDiscoveryResponse) (reply *discoveryv3.DeltaDiscoveryRequest, accepted bool, err error) {
	offer, err := parseUpdate(response)
	switch {
	case err != nil && response.GetNonce() == "":
		return nil, false, err // there is nothing to answer
	case err != nil:
		return f.reject(response.GetNonce(), err), false, nil
	case offer.Nonce == "":
		f.handleHeartbeat()
		return nil, false, nil
	case offer.Revision < f.revision:
		return nil, false, fmt.Errorf("%w: %d, held is %d", ErrOlderRevision, offer.Revision, f.revision)
	case offer.Revision == f.revision && !offer.FullScope && !offer.empty():
		return nil, false, fmt.Errorf("%w: %d", ErrConflictingContent, offer.Revision)
	}
	if err := f.checkApplicable(offer); err != nil {
		return f.reject(offer.Nonce, err), false, nil
	}
	if offer.FullScope {
		err = f.applyFullScope(offer)
	} else {
		err = f.applyDelta(offer)
	}
	switch {
	case errors.Is(err, ErrConflictingContent):
		return nil, false, err
	case err != nil:
		return f.reject(offer.Nonce, err), false, nil
	}
	accepted = offer.Revision > f.revision
	f.revision = offer.Revision
	f.routingRevision = max(f.routingRevision, offer.RoutingRevision)
	f.Accepted++
	return &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL, ResponseNonce: offer.Nonce}, accepted, nil
}

// checkApplicable says why an offer can't follow on what is held, whatever its contents are good for.
func (f *Follower) checkApplicable(offer Update) error {
	if !offer.FullScope && f.revision == 0 {
		return errNoBaseRevision
	}
	for _, record := range offer.Records {
		if !f.scope.Contains(record) {
			return fmt.Errorf("%s is not in the scope", record.Key)
		}
		if !offer.FullScope && record.Revision <= f.revision {
			return fmt.Errorf("%s: its revision %d is no change after %d", record.Key, record.Revision, f.revision)
		}
	}
	return nil
}

// applyFullScope takes a whole scope in place of what is held.
func (f *Follower) applyFullScope(offer Update) error {
	next := make(map[records.Key]*records.Record, len(offer.Records))
	for _, record := range offer.Records {
		next[record.Key] = record
	}
	if offer.Revision == f.revision && !equalRecords(next, f.records) {
		return fmt.Errorf("%w: %d", ErrConflictingContent, offer.Revision)
	}
	if f.validate != nil {
		if err := f.validate(offer.Revision, next); err != nil {
			return err
		}
	}
	f.records = next
	return nil
}

// applyDelta brings what is held up to date in place, so that its cost is that of the change. What the check refuses is
// taken back.
func (f *Follower) applyDelta(offer Update) error {
	if offer.empty() {
		return nil
	}
	before := make(map[records.Key]*records.Record, len(offer.Records)+len(offer.Removed))
	for _, record := range offer.Records {
		before[record.Key] = f.records[record.Key]
		f.records[record.Key] = record
	}
	for _, key := range offer.Removed {
		before[key] = f.records[key]
		delete(f.records, key)
	}
	if f.validate == nil {
		return nil
	}
	err := f.validate(offer.Revision, f.records)
	if err != nil {
		f.rollBack(before)
	}
	return err
}

// rollBack takes a change back: before has the record of each key that it named, nil where there was none.
func (f *Follower) rollBack(before map[records.Key]*records.Record) {
	for key, record := range before {
		if record == nil {
			delete(f.records, key)
		} else {
			f.records[key] = record
		}
	}
}

// handleHeartbeat notes a heartbeat. The member's lease runs from when it heard the request, so it ends no earlier than one that
// runs from when the request was sent: the follower is never the last to know that its lease has run out. An offer says
// nothing about the lease, since the member may not have heard anything since.
func (f *Follower) handleHeartbeat() {
	if f.renewalSentAt.IsZero() {
		return
	}
	if until := f.renewalSentAt.Add(f.lease); until.After(f.leaseUntil) {
		f.leaseUntil = until
	}
	f.renewalSentAt = time.Time{}
}

// reject answers an offer that can't be used; what was held stays.
func (f *Follower) reject(nonce string, reason error) *discoveryv3.DeltaDiscoveryRequest {
	f.Rejected++
	return &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL, ResponseNonce: nonce,
		ErrorDetail: &rpc.Status{Code: int32(codes.InvalidArgument), Message: reason.Error()}}
}

// equalRecords tells whether two sets of records are alike.
func equalRecords(a, b map[records.Key]*records.Record) bool {
	return maps.EqualFunc(a, b, func(x, y *records.Record) bool { return x.Revision == y.Revision && x.SameContent(y) })
}
