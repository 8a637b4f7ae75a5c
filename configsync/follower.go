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

// Reasons for which a follower leaves a member; [Follower.Receive] returns them.
var (
	ErrOlderRevision      = errors.New("the member sends an older revision than the accepted one")
	ErrConflictingContent = errors.New("the member sends other contents for the accepted revision")
)

// errNoBaseRevision rejects a delta without an accepted revision to apply it to.
var errNoBaseRevision = errors.New("a delta was sent, but no revision is accepted")

// Validator returns why a follower can't use records, nil if it can. It gets all records that the follower would have, and
// must not retain the map.
type Validator func(revision uint64, accepted map[records.Key]*records.Record) error

// Follower is the state of a controller that follows the group: the records that it has accepted, and its lease. It is not
// safe for concurrent use.
type Follower struct {
	name      string
	scope     records.Scope
	lease     time.Duration
	validator Validator

	revision        uint64
	routingRevision uint64
	records         map[records.Key]*records.Record

	// renewalSentAt is when the oldest request was sent that no heartbeat has answered yet; zero if there is none.
	renewalSentAt time.Time
	leaseUntil    time.Time

	// Accepted and Rejected count updates since the follower was made.
	Accepted, Rejected uint64
}

// NewFollower returns a follower without records. The lease is at most the members', see [Limits]: a follower
// must not take itself for up to date for longer than they do. A nil validator accepts all records.
func NewFollower(name string, scope records.Scope, lease time.Duration, validate Validator) *Follower {
	return &Follower{
		name:      name,
		scope:     scope.Normalized(),
		lease:     lease,
		validator: validate,
		records:   map[records.Key]*records.Record{},
	}
}

// Revision is the accepted revision, 0 if none.
func (f *Follower) Revision() uint64 { return f.revision }

// RoutingRevision is the revision at which a route of the scope last changed, as of the accepted revision. It never goes
// down, also if a member names a lower one, as a member may that restored a snapshot without it: sidecars reject routes of a
// lower number than they have.
func (f *Follower) RoutingRevision() uint64 { return f.routingRevision }

// Records returns the accepted records. The map must not be changed and is valid until the next Receive, which changes it
// in place; a caller that needs it for longer clones it.
func (f *Follower) Records() map[records.Key]*records.Record { return f.records }

// Stale tells whether the lease has run out: the records stay in use, but may be out of date.
func (f *Follower) Stale(now time.Time) bool { return !now.Before(f.leaseUntil) }

// RenewInterval is the interval between renewals: the lease outlasts the loss of one.
func (f *Follower) RenewInterval() time.Duration { return f.lease / 3 }

// Begin returns the first request of a new stream, sent at now. Responses of earlier streams must not be passed to Receive
// any more.
func (f *Follower) Begin(now time.Time) *discoveryv3.DeltaDiscoveryRequest {
	f.renewalSentAt = now
	return Handshake{Name: f.name, Scope: f.scope, Revision: f.revision}.request()
}

// Renew returns a request that renews the lease, sent at now. It is due every RenewInterval, also between answers to
// updates.
func (f *Follower) Renew(now time.Time) *discoveryv3.DeltaDiscoveryRequest {
	if f.renewalSentAt.IsZero() {
		f.renewalSentAt = now
	}
	return &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL}
}

// Receive handles a response of the stream that the last Begin opened. A reply that is not nil has to be sent; accepted
// tells whether there is another revision now. After an error ([ErrOlderRevision], [ErrConflictingContent], or a response
// that can't be read or answered) the stream has to be ended and another member connected to.
func (f *Follower) Receive(response *discoveryv3.DeltaDiscoveryResponse) (reply *discoveryv3.DeltaDiscoveryRequest, accepted bool, err error) {
	update, err := parseUpdate(response)
	switch {
	case err != nil && response.GetNonce() == "":
		return nil, false, err // without a nonce there is no NACK
	case err != nil:
		return f.reject(response.GetNonce(), err), false, nil
	case update.IsHeartbeat():
		f.handleHeartbeat()
		return nil, false, nil
	}
	if err := f.checkContinuity(update); err != nil {
		return nil, false, err
	}
	if err := f.checkApplicable(update); err != nil {
		return f.reject(update.Nonce, err), false, nil
	}
	if err := f.checkSameContent(update); err != nil {
		return nil, false, err
	}
	if err := f.apply(update); err != nil {
		return f.reject(update.Nonce, err), false, nil
	}
	return f.acknowledge(update.Nonce), f.commit(update), nil
}

// checkContinuity returns an error if the member's configuration contradicts what was accepted, as its revision shows.
func (f *Follower) checkContinuity(update Update) error {
	if update.Revision < f.revision {
		return fmt.Errorf("%w: %d, accepted is %d", ErrOlderRevision, update.Revision, f.revision)
	}
	if update.Revision == f.revision && !update.FullScope && !update.isEmpty() {
		return fmt.Errorf("%w: %d", ErrConflictingContent, update.Revision)
	}
	return nil
}

// checkApplicable returns why an update can't follow the accepted revision, whatever its records say.
func (f *Follower) checkApplicable(update Update) error {
	if !update.FullScope && f.revision == 0 {
		return errNoBaseRevision
	}
	for _, record := range update.Records {
		if !f.scope.Contains(record) {
			return fmt.Errorf("%s is not in the scope", record.Key)
		}
		if !update.FullScope && record.Revision <= f.revision {
			return fmt.Errorf("%s: its revision %d is no change after %d", record.Key, record.Revision, f.revision)
		}
	}
	return nil
}

// checkSameContent returns an error if a full scope of the accepted revision has other records than were accepted.
func (f *Follower) checkSameContent(update Update) error {
	if !update.FullScope || update.Revision != f.revision {
		return nil
	}
	if !equalRecords(recordsByKey(update.Records), f.records) {
		return fmt.Errorf("%w: %d", ErrConflictingContent, update.Revision)
	}
	return nil
}

// apply makes an update's records the accepted ones if the validator accepts the result. After an error these are as before.
func (f *Follower) apply(update Update) error {
	if update.FullScope {
		return f.applyFullScope(update)
	}
	return f.applyDelta(update)
}

// applyFullScope replaces all records.
func (f *Follower) applyFullScope(update Update) error {
	next := recordsByKey(update.Records)
	if f.validator != nil {
		if err := f.validator(update.Revision, next); err != nil {
			return err
		}
	}
	f.records = next
	return nil
}

// applyDelta changes the records in place, so that the cost is that of the delta. It is rolled back if the validator
// rejects the result.
func (f *Follower) applyDelta(update Update) error {
	if update.isEmpty() {
		return nil
	}
	before := make(map[records.Key]*records.Record, len(update.Records)+len(update.Removed))
	for _, record := range update.Records {
		before[record.Key] = f.records[record.Key]
		f.records[record.Key] = record
	}
	for _, key := range update.Removed {
		before[key] = f.records[key]
		delete(f.records, key)
	}
	if f.validator == nil {
		return nil
	}
	err := f.validator(update.Revision, f.records)
	if err != nil {
		f.rollBack(before)
	}
	return err
}

// commit makes an update's revision the accepted one, and tells whether it is another one than before.
func (f *Follower) commit(update Update) (advanced bool) {
	advanced = update.Revision > f.revision
	f.revision = update.Revision
	f.routingRevision = max(f.routingRevision, update.RoutingRevision)
	f.Accepted++
	return advanced
}

// rollBack undoes a delta: before has the earlier record of each key that it named, nil if there was none.
func (f *Follower) rollBack(before map[records.Key]*records.Record) {
	for key, record := range before {
		if record == nil {
			delete(f.records, key)
		} else {
			f.records[key] = record
		}
	}
}

// handleHeartbeat extends the lease, counted from when the request was sent: it ends no later than the member's, which is
// counted from when the member receives the request. An update does not extend it, since the member may have received no
// request since.
func (f *Follower) handleHeartbeat() {
	if f.renewalSentAt.IsZero() {
		return
	}
	until := f.renewalSentAt.Add(f.lease)
	if until.After(f.leaseUntil) {
		f.leaseUntil = until
	}
	f.renewalSentAt = time.Time{}
}

// acknowledge returns the ACK of an update.
func (f *Follower) acknowledge(nonce string) *discoveryv3.DeltaDiscoveryRequest {
	return &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL, ResponseNonce: nonce}
}

// reject returns the NACK of an update that can't be used; the records stay.
func (f *Follower) reject(nonce string, reason error) *discoveryv3.DeltaDiscoveryRequest {
	f.Rejected++
	return &discoveryv3.DeltaDiscoveryRequest{
		TypeUrl:       TypeURL,
		ResponseNonce: nonce,
		ErrorDetail:   &rpc.Status{Code: int32(codes.InvalidArgument), Message: reason.Error()},
	}
}

func recordsByKey(all []*records.Record) map[records.Key]*records.Record {
	byKey := make(map[records.Key]*records.Record, len(all))
	for _, record := range all {
		byKey[record.Key] = record
	}
	return byKey
}

// equalRecords tells whether two sets have the same records at the same revisions.
func equalRecords(a, b map[records.Key]*records.Record) bool {
	return maps.EqualFunc(a, b, func(x, y *records.Record) bool { return x.Revision == y.Revision && x.SameContent(y) })
}
