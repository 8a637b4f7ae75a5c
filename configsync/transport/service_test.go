package transport

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// rawStream opens a stream to a member without a Client.
func rawStream(t *testing.T, m *member) discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient {
	t.Helper()
	wire, err := discoveryv3.NewAggregatedDiscoveryServiceClient(rawConn(t, m)).DeltaAggregatedResources(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return wire
}

func rawConn(t *testing.T, m *member) *grpc.ClientConn {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+m.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// openStreams returns the number of streams that a member serves.
func (m *member) openStreams() int {
	m.service.pendingMutex.Lock()
	defer m.service.pendingMutex.Unlock()
	return len(m.service.streams)
}

// A follower renews its lease but does not read, so that the member's sender blocks. The member must end its stream
// after the lease duration, and other followers must receive changes without delay in the meantime.
func TestBlockedFollowerDelaysNoOthers(t *testing.T) {
	log := newGroupLog(100)
	for name := range 3000 { // much more than the windows and buffers of the connection hold
		log.put(t, fmt.Sprintf("%0150d", name), "shop", 1000)
	}
	m := newMember(t, log, testLimits())
	c := newFollowerController(t, Config{Scope: records.Scope{Services: []string{"other"}}, Members: []string{m.address}})
	c.awaitAccepted(log)
	blocked := rawStream(t, m)
	follower := configsync.NewFollower("stuck", shop, testLease, nil)
	if err := blocked.Send(follower.Begin(time.Now())); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "member is sending the full scope to the blocked follower", func() bool { return m.service.Counts().FullScopes == 2 })
	for change := range 20 {
		log.put(t, "buy", "other", float64(1000+change))
		c.awaitAccepted(log)
		blocked.Send(follower.Renew(time.Now())) // fails once the member has ended the stream
	}
	waitFor(t, "member has ended the blocked stream", func() bool {
		blocked.Send(follower.Renew(time.Now()))
		return m.openStreams() == 1
	})
	var err error
	for err == nil {
		_, err = blocked.Recv()
	}
	if !strings.Contains(err.Error(), errNotReading.Error()) {
		t.Errorf("got error %v, want %v", err, errNotReading)
	}
	log.put(t, "buy", "other", 5000)
	c.awaitAccepted(log)
}

// While many followers wait for full scopes because of the rate limit, up-to-date followers receive each delta
// immediately.
func TestFullScopesDoNotDelayDeltas(t *testing.T) {
	log := newGroupLog(1000)
	for name := range 100 {
		log.put(t, fmt.Sprintf("route-%d", name), "shop", 1000)
	}
	limits := testLimits()
	limits.FullScopeBurstBytes, limits.FullScopeBytesPerSecond = 1, 1 // one scope, then none for hours
	m := newMember(t, log, limits)
	upToDate := newFollowerController(t, Config{Name: "up to date", Scope: shop, Members: []string{m.address}})
	upToDate.awaitAccepted(log)
	var waiting []*followerController
	for k := range 40 {
		waiting = append(waiting, newFollowerController(t, Config{Name: fmt.Sprintf("waiting-%d", k), Scope: shop, Members: []string{m.address}}))
	}
	for _, c := range waiting {
		waitFor(t, "waiting follower has a lease", func() bool { return !c.client.Status().Stale })
	}
	for change := range 10 {
		log.put(t, "route-1", "shop", float64(2000+change))
		upToDate.awaitAccepted(log)
	}
	if counts := m.service.Counts(); counts.FullScopes != 1 {
		t.Errorf("got counts %+v, want 1 full scope", counts)
	}
	for _, c := range waiting {
		if c.last().revision != 0 || c.client.Status().Stale {
			t.Errorf("%s: got status %+v, want no accepted revision and a valid lease", c.client.config.Name, c.client.Status())
		}
	}
}

// All followers start at the same time, twice: all of them must converge each time.
func TestAllFollowersRestart(t *testing.T) {
	logs := []*groupLog{newGroupLog(1000), newGroupLog(1000), newGroupLog(1000)}
	var addresses []string
	var members []*member
	for _, log := range logs {
		m := newMember(t, log, testLimits())
		members, addresses = append(members, m), append(addresses, m.address)
	}
	put := func(name, service string, limit float64) {
		for _, log := range logs {
			log.put(t, name, service, limit)
		}
	}
	for name := range 200 {
		put(fmt.Sprintf("route-%d", name), fmt.Sprintf("service-%d", name%10), 1000)
	}
	startControllers := func(generation uint64) (all []*followerController) {
		for k := range 60 {
			scope := records.Scope{Services: []string{fmt.Sprintf("service-%d", k%10), fmt.Sprintf("service-%d", (k+3)%10)}}
			all = append(all, newFollowerController(t, Config{Name: fmt.Sprintf("conductor-%d", k), Scope: scope, Members: addresses, Seed: generation<<8 | uint64(k)}))
		}
		return all
	}
	for generation := range uint64(2) {
		all := startControllers(generation)
		put("route-7", "service-7", float64(2000+generation))
		for _, c := range all {
			c.awaitAccepted(logs[0])
		}
		for _, c := range all {
			c.stop()
		}
	}
	fullScopes := uint64(0)
	for _, m := range members {
		fullScopes += m.service.Counts().FullScopes
	}
	if fullScopes < 120 {
		t.Errorf("got %d full scopes, want at least 120, one for each start", fullScopes)
	}
}

// No goroutine is left after followers and members have stopped.
func TestGoroutinesEndWithStreams(t *testing.T) {
	before := runtime.NumGoroutine()
	log := newGroupLog(100)
	log.put(t, "buy", "shop", 1000)
	m := newMember(t, log, testLimits())
	var all []*followerController
	for k := range 20 {
		all = append(all, newFollowerController(t, Config{Name: fmt.Sprintf("conductor-%d", k), Scope: shop, Members: []string{m.address}}))
	}
	for _, c := range all {
		c.awaitAccepted(log)
	}
	running := runtime.NumGoroutine()
	for _, c := range all[:10] {
		c.stop()
	}
	waitFor(t, "streams of the stopped followers are closed", func() bool { return m.openStreams() == 10 })
	m.stop() // while the other followers are connected
	for _, c := range all[10:] {
		waitFor(t, "follower has no member", func() bool { return c.client.Status().Failovers > 0 })
		c.stop()
	}
	waitFor(t, fmt.Sprintf("at most %d goroutines as before the test, %d were running", before, running), func() bool { return runtime.NumGoroutine() <= before })
	if m.openStreams() != 0 {
		t.Errorf("got %d open streams, want 0", m.openStreams())
	}
}

// A stream that violates the protocol is ended with a status code and a reason.
func TestProtocolViolationsEndStream(t *testing.T) {
	log := newGroupLog(100)
	log.put(t, "buy", "shop", 1000)
	limits := testLimits()
	limits.MaxStreams = 1
	limits.Lease = 2 * handshakeTimeout // so that the two timeouts can be distinguished
	m := newMember(t, log, limits)
	expectEnd := func(name string, code codes.Code, reason string, requests ...*discoveryv3.DeltaDiscoveryRequest) {
		t.Helper()
		waitFor(t, "all streams are closed", func() bool { return m.openStreams() == 0 })
		wire := rawStream(t, m)
		for _, out := range requests {
			if err := wire.Send(out); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		var err error
		for err == nil {
			_, err = wire.Recv()
		}
		if status.Code(err) != code || !strings.Contains(err.Error(), reason) {
			t.Errorf("%s: got error %v, want %v: %s", name, err, code, reason)
		}
	}
	follower := configsync.NewFollower("raw", shop, testLease, nil)
	handshake := follower.Begin(time.Now())
	expectEnd("no request", codes.DeadlineExceeded, errNoHandshake.Error())
	expectEnd("unknown type", codes.InvalidArgument, "resource type \"type.googleapis.com/other\" is not served, want \""+configsync.TypeURL+"\"", &discoveryv3.DeltaDiscoveryRequest{TypeUrl: "type.googleapis.com/other"})
	expectEnd("no name", codes.InvalidArgument, "name must have 1 to 200 bytes and no control characters", configsync.NewFollower("", shop, testLease, nil).Begin(time.Now()))
	expectEnd("unknown nonce", codes.InvalidArgument, "nonce \"77\" is not that of an unanswered update", handshake, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: configsync.TypeURL, ResponseNonce: "77"})
	expectEnd("no renewal", codes.DeadlineExceeded, configsync.ErrFollowerTimeout.Error(), handshake)

	first := rawStream(t, m)
	if err := first.Send(handshake); err != nil {
		t.Fatal(err)
	}
	if _, err := first.Recv(); err != nil {
		t.Fatal(err)
	}
	if _, err := rawStream(t, m).Recv(); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("stream beyond the limit: got error %v, want %v", err, codes.ResourceExhausted)
	}
	state, err := discoveryv3.NewAggregatedDiscoveryServiceClient(rawConn(t, m)).StreamAggregatedResources(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := state.Recv(); status.Code(err) != codes.Unimplemented {
		t.Errorf("StreamAggregatedResources: got error %v, want %v", err, codes.Unimplemented)
	}
}

// A second stream of the same follower replaces the first one, which ends with Aborted.
func TestReplacedStreamEndsWithAborted(t *testing.T) {
	m := newMember(t, newGroupLog(100), testLimits())
	handshake := configsync.NewFollower("raw", shop, testLease, nil).Begin(time.Now())
	first := rawStream(t, m)
	for _, wire := range []discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient{first, rawStream(t, m)} {
		if err := wire.Send(handshake); err != nil {
			t.Fatal(err)
		}
		if _, err := wire.Recv(); err != nil {
			t.Fatal(err)
		}
	}
	first.Send(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: configsync.TypeURL}) // wakes the stream
	if _, err := first.Recv(); status.Code(err) != codes.Aborted {
		t.Errorf("first stream: got error %v, want %v", err, codes.Aborted)
	}
}

// A member that may be out of date must not extend leases: it ends its streams, and its followers reconnect when it is
// available again.
func TestUnavailableMemberEndsStreams(t *testing.T) {
	log := newGroupLog(100)
	log.put(t, "buy", "shop", 1000)
	m := newMember(t, log, testLimits())
	c := newFollowerController(t, Config{Scope: shop, Members: []string{m.address}})
	c.awaitAccepted(log)
	m.service.SetUnavailable(errors.New("no leader is known"))
	waitFor(t, "lease has expired", func() bool { return c.client.Status().Stale })
	if err := c.client.Status().LastError; status.Code(errors.Unwrap(err)) != codes.Unavailable || !strings.Contains(err.Error(), "no leader is known") {
		t.Errorf("got error %v, want %v: no leader is known", err, codes.Unavailable)
	}
	m.service.SetUnavailable(nil)
	log.put(t, "buy", "shop", 2000)
	c.awaitAccepted(log)
}

// Operators can query the revisions that followers have accepted.
func TestFetchStatus(t *testing.T) {
	log := newGroupLog(100)
	log.put(t, "buy", "shop", 1000)
	m := newMember(t, log, testLimits())
	c := newFollowerController(t, Config{Scope: shop, Members: []string{m.address}})
	c.awaitAccepted(log)
	conn := rawConn(t, m)
	waitFor(t, "member status shows the follower as up to date", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		reported, err := FetchMemberStatus(ctx, conn)
		if err != nil {
			t.Fatal(err)
		}
		return reported.Member == m.address && reported.Revision == 1 && reported.ConvergedRevision == 1 && len(reported.Leases) == 1 &&
			reported.Leases[0].Name == "conductor" && reported.Leases[0].Live
	})
}

// A change costs less than 1 KB on the wire in addition to its record, both directions together, no matter whether it
// is in the follower's scope.
func TestBytesOnWirePerChange(t *testing.T) {
	const (
		changes         = 200
		maxChangeBytes  = 1 << 10 // per change, in addition to the record
		maxRenewalBytes = 512     // per renewal and its response
		maxRecordBytes  = 100     // upper bound of the records in this test
	)
	log := newGroupLog(2 * changes)
	log.put(t, "buy", "shop", 1000)
	m := newMember(t, log, testLimits())
	for name, service := range map[string]string{"in scope": "shop", "out of scope": "other"} {
		t.Run(name, func(t *testing.T) {
			c := newFollowerController(t, Config{Name: service, Scope: shop, Members: []string{m.address}})
			c.awaitAccepted(log)
			wire := func() uint64 { return c.client.Traffic.In.Load() + c.client.Traffic.Out.Load() }
			heartbeats := func() uint64 { return m.service.Counts().Heartbeats }
			before, heartbeatsBefore := wire(), heartbeats()
			for change := range changes {
				log.put(t, "buy-"+service, service, float64(1000+change))
				c.awaitAccepted(log)
			}
			usedBytes, renewals := wire()-before, heartbeats()-heartbeatsBefore
			t.Logf("%s: %d bytes for %d changes and %d renewals", name, usedBytes, changes, renewals)
			if usedBytes > changes*(maxChangeBytes+maxRecordBytes)+(renewals+1)*maxRenewalBytes {
				t.Errorf("%s: got %d bytes for %d changes and %d renewals, want at most %d", name, usedBytes, changes, renewals,
					changes*(maxChangeBytes+maxRecordBytes)+(renewals+1)*maxRenewalBytes)
			}
			c.stop()
		})
	}
}
