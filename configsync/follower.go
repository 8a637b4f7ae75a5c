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

// Errors after which a follower must disconnect from a member; [Follower.Receive] returns them.
var (
	ErrOlderRevision      = errors.New("member sent a revision older than the accepted one")
	ErrConflictingContent = errors.New("member sent different content for the accepted revision")
)

// errNoBaseRevision is the rejection of a delta by a follower that has no accepted revision to apply it to.
var errNoBaseRevision = errors.New("delta received without an accepted base revision")

// Validator returns an error if a follower cannot use the records of a revision. It receives all records that the
// follower would have after the update, and must not retain the map.
type Validator func(revision uint64, updated map[records.Key]*records.Record) error

// Follower is the state of a controller that follows the group: its accepted records and its lease. It is not safe for
// concurrent use.
type Follower struct {
	name      string
	scope     records.Scope
	lease     time.Duration
	validator Validator

	revision        uint64
	routingRevision uint64
	records         map[records.Key]*records.Record

	// renewalSentAt is the time at which the oldest request not yet answered by a heartbeat was sent; zero if there is
	// none.
	renewalSentAt time.Time
	leaseUntil    time.Time

	// Accepted and Rejected count the updates since the follower was created.
	Accepted, Rejected uint64
}

// NewFollower returns a follower without records. The lease must not be longer than that of the members (see [Limits]):
// a follower must not consider itself up to date for longer than they do. A nil validator accepts all records.
func NewFollower(name string, scope records.Scope, lease time.Duration, validate Validator) *Follower {
	return &Follower{
		name:      name,
		scope:     scope.Normalized(),
		lease:     lease,
		validator: validate,
		records:   map[records.Key]*records.Record{},
	}
}

// Revision returns the accepted revision, or 0 if there is none.
func (f *Follower) Revision() uint64 { return f.revision }

// RoutingRevision returns the revision at which a route of the scope last changed, as of the accepted revision. It
// never decreases, because sidecars reject routes with a lower number than they have. A member that restored a snapshot
// without the routing revision may send a lower one.
func (f *Follower) RoutingRevision() uint64 { return f.routingRevision }

// Records returns the accepted records. The caller must not modify the map, which is valid until the next Receive
// modifies it in place; a caller that needs it for longer must clone it.
func (f *Follower) Records() map[records.Key]*records.Record { return f.records }

// Stale reports whether the lease has expired: the records remain in use, but may be out of date.
func (f *Follower) Stale(now time.Time) bool { return !now.Before(f.leaseUntil) }

// RenewInterval returns the interval between renewals, which is short enough that the lease survives the loss of one
// renewal.
func (f *Follower) RenewInterval() time.Duration { return f.lease / 3 }

// Begin returns the first request of a new stream, sent at now. After it, responses of earlier streams must not be
// passed to Receive.
func (f *Follower) Begin(now time.Time) *discoveryv3.DeltaDiscoveryRequest {
	f.renewalSentAt = now
	return Handshake{Name: f.name, Scope: f.scope, Revision: f.revision}.request()
}

// Renew returns a request that renews the lease, sent at now. The caller must send one every RenewInterval, even if it
// sends answers to updates in between.
func (f *Follower) Renew(now time.Time) *discoveryv3.DeltaDiscoveryRequest {
	if f.renewalSentAt.IsZero() {
		f.renewalSentAt = now
	}
	return &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL}
}

// Receive handles a response on the stream that the last Begin opened. The caller must send a non-nil reply; accepted
// reports whether the accepted revision advanced. After an error ([ErrOlderRevision], [ErrConflictingContent], or a
// response that cannot be decoded or answered) the caller must end the stream and connect to another member.
func (f *Follower) Receive(response *discoveryv3.DeltaDiscoveryResponse) (reply *discoveryv3.DeltaDiscoveryRequest, accepted bool, err error) {
	update, err := parseUpdate(response)
	switch {
	case err != nil && response.GetNonce() == "":
		return nil, false, err // a NACK needs a nonce
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

// checkContinuity returns an error if the revision of an update contradicts the accepted state: it is older, or a delta
// changes records of the accepted revision.
func (f *Follower) checkContinuity(update Update) error {
	if update.Revision < f.revision {
		return fmt.Errorf("%w: got %d, accepted %d", ErrOlderRevision, update.Revision, f.revision)
	}
	if update.Revision == f.revision && !update.FullScope && !update.isEmpty() {
		return fmt.Errorf("%w: %d", ErrConflictingContent, update.Revision)
	}
	return nil
}

// checkApplicable returns an error if an update cannot be applied to the accepted revision, regardless of the content
// of its records.
func (f *Follower) checkApplicable(update Update) error {
	if !update.FullScope && f.revision == 0 {
		return errNoBaseRevision
	}
	for _, record := range update.Records {
		if !f.scope.Contains(record) {
			return fmt.Errorf("%s is outside the follower's scope", record.Key)
		}
		if !update.FullScope && record.Revision <= f.revision {
			return fmt.Errorf("%s: its revision %d is no change after %d", record.Key, record.Revision, f.revision)
		}
	}
	return nil
}

// checkSameContent returns an error if a full scope of the accepted revision differs from the accepted records.
func (f *Follower) checkSameContent(update Update) error {
	if !update.FullScope || update.Revision != f.revision {
		return nil
	}
	if !equalRecords(recordsByKey(update.Records), f.records) {
		return fmt.Errorf("%w: %d", ErrConflictingContent, update.Revision)
	}
	return nil
}

// apply applies an update to the accepted records if the validator accepts the result. After an error they are
// unchanged.
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

// applyDelta modifies the records in place, so that the cost is proportional to the delta. The change is rolled back if
// the validator rejects the result.
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

// commit sets the accepted revision to that of an update and reports whether it advanced.
func (f *Follower) commit(update Update) (advanced bool) {
	advanced = update.Revision > f.revision
	f.revision = update.Revision
	f.routingRevision = max(f.routingRevision, update.RoutingRevision)
	f.Accepted++
	return advanced
}

// rollBack reverts a delta: before contains the previous record of each key in the delta, nil if there was none.
func (f *Follower) rollBack(before map[records.Key]*records.Record) {
	for key, record := range before {
		if record == nil {
			delete(f.records, key)
		} else {
			f.records[key] = record
		}
	}
}

// handleHeartbeat extends the lease, measured from the time at which the request was sent. The lease thus ends no later
// than the member's lease, which is measured from the time at which the member received the request. An update does not
// extend the lease, since the member may have sent it without having received a request since the last renewal.
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

// reject returns the NACK of an update that cannot be used; the records are unchanged.
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

// equalRecords reports whether two sets contain the same records at the same revisions.
func equalRecords(a, b map[records.Key]*records.Record) bool {
	return maps.EqualFunc(a, b, func(x, y *records.Record) bool { return x.Revision == y.Revision && x.SameContent(y) })
}
