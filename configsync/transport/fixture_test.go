package transport

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

const (
	// testLease is long compared with the delays of a busy machine and short compared with testTimeout.
	testLease = 2 * time.Second
	// testTimeout is the maximum time that a test waits for a condition.
	testTimeout = 60 * time.Second
)

// groupLog is the group's log as applied by one member, with a bounded history.
type groupLog struct {
	stateMutex sync.Mutex
	history    int // maximum number of retained changes
	revision   uint64
	records    map[records.Key]*records.Record
	changes    []records.Change
	member     *member
}

func newGroupLog(history int) *groupLog {
	return &groupLog{history: history, records: map[records.Key]*records.Record{}}
}

// Revision returns the revision of the last change.
func (l *groupLog) Revision() uint64 {
	l.stateMutex.Lock()
	defer l.stateMutex.Unlock()
	return l.revision
}

// InScope returns all records of a scope.
func (l *groupLog) InScope(scope records.Scope) records.View {
	l.stateMutex.Lock()
	defer l.stateMutex.Unlock()
	view := records.View{Revision: l.revision, RoutingRevision: l.routingRevision(scope)}
	for _, record := range l.records {
		if scope.Contains(record) {
			view.Records = append(view.Records, record)
		}
	}
	slices.SortFunc(view.Records, func(a, b *records.Record) int { return a.Compare(b.Key) })
	return view
}

// routingRevision returns the highest revision of the routes in a scope. These tests never remove or move a route.
func (l *groupLog) routingRevision(scope records.Scope) (highest uint64) {
	for _, record := range l.records {
		if scope.Contains(record) {
			highest = max(highest, record.Revision)
		}
	}
	return highest
}

// Since returns the changes of a scope since a revision.
func (l *groupLog) Since(revision uint64, scope records.Scope) records.Delta {
	l.stateMutex.Lock()
	defer l.stateMutex.Unlock()
	delta := records.Delta{Revision: l.revision, RoutingRevision: l.routingRevision(scope)}
	if l.revision-min(l.revision, revision) > uint64(len(l.changes)) {
		return delta
	}
	latest := map[records.Key]records.Update{}
	for _, change := range l.changes {
		if change.Revision <= revision {
			continue
		}
		for _, update := range change.Updates {
			if !scope.Touches(update) {
				continue
			}
			if earlier, known := latest[update.Key()]; known {
				update.Before = earlier.Before
			}
			latest[update.Key()] = update
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(latest), records.Key.Compare) {
		delta.Updates = append(delta.Updates, latest[key])
	}
	delta.Available = true
	return delta
}

// put commits a route as the next revision and notifies the member's service.
func (l *groupLog) put(t testing.TB, name, service string, limit float64) uint64 {
	t.Helper()
	key := records.Key{Kind: records.KindRoute, Name: name}
	record, err := records.New(key, records.RouteSpec{Service: service, Prefix: "/" + name, TimeLimitMS: limit})
	if err != nil {
		t.Fatal(err)
	}
	l.stateMutex.Lock()
	l.revision++
	record.Revision = l.revision
	change := records.Change{Revision: l.revision, Updates: []records.Update{{Before: l.records[key], After: record}}}
	l.records[key] = record
	l.changes = append(l.changes, change)
	l.changes = l.changes[max(0, len(l.changes)-l.history):]
	notified := l.member
	l.stateMutex.Unlock()
	if notified != nil {
		notified.service.Committed(change)
	}
	return change.Revision
}

// member is a member's service on a loopback socket. It can be stopped and started again on the same address.
type member struct {
	t       testing.TB
	log     *groupLog
	limits  configsync.Limits
	address string
	service *Service
	server  *grpc.Server
	stopped chan struct{}
}

func testLimits() configsync.Limits {
	limits := configsync.DefaultLimits
	limits.Lease = testLease
	return limits
}

func newMember(t testing.TB, log *groupLog, limits configsync.Limits) *member {
	m := &member{t: t, log: log, limits: limits, address: "127.0.0.1:0"}
	m.start()
	t.Cleanup(m.stop)
	return m
}

func (m *member) start() {
	m.t.Helper()
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		m.t.Fatal(err)
	}
	m.address = listener.Addr().String()
	m.service = NewService(m.address, m.log, m.limits, zap.NewNop())
	m.server, m.stopped = cluster.NewServer(nil), make(chan struct{})
	m.service.Register(m.server)
	m.log.stateMutex.Lock()
	m.log.member = m
	m.log.stateMutex.Unlock()
	go func() { defer close(m.stopped); m.server.Serve(listener) }()
}

func (m *member) stop() {
	m.server.Stop()
	<-m.stopped
}

// acceptedRevision is a revision that a client reported as accepted.
type acceptedRevision struct {
	revision        uint64
	routingRevision uint64
	records         map[records.Key]*records.Record
}

// followerController is a running client and the results it has reported.
type followerController struct {
	t      testing.TB
	client *Client
	stop   func()

	resultsMutex      sync.Mutex
	acceptedRevisions []acceptedRevision
	staleChanges      []bool
}

func newFollowerController(t testing.TB, config Config) *followerController {
	t.Helper()
	c := &followerController{t: t}
	config.Name = cmp.Or(config.Name, "conductor")
	config.Lease = cmp.Or(config.Lease, testLease)
	config.Accepted = func(revision uint64, accepted map[records.Key]*records.Record) {
		c.resultsMutex.Lock()
		defer c.resultsMutex.Unlock()
		c.acceptedRevisions = append(c.acceptedRevisions, acceptedRevision{revision, c.client.RoutingRevision(), maps.Clone(accepted)})
	}
	config.StaleChanged = func(stale bool) {
		c.resultsMutex.Lock()
		defer c.resultsMutex.Unlock()
		c.staleChanges = append(c.staleChanges, stale)
	}
	var err error
	if c.client, err = NewClient(config); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); c.client.Run(ctx) }()
	c.stop = func() { cancel(); <-stopped }
	t.Cleanup(func() { c.stop(); c.checkRevisionsRise() })
	return c
}

// checkRevisionsRise checks that each reported revision is higher than the previous one.
func (c *followerController) checkRevisionsRise() {
	c.t.Helper()
	c.resultsMutex.Lock()
	defer c.resultsMutex.Unlock()
	for at := 1; at < len(c.acceptedRevisions); at++ {
		if c.acceptedRevisions[at].revision <= c.acceptedRevisions[at-1].revision {
			c.t.Errorf("%s: got accepted revision %d after %d, want a higher one", c.client.config.Name, c.acceptedRevisions[at].revision, c.acceptedRevisions[at-1].revision)
		}
	}
}

// last returns the revision that was accepted last, or the zero value if there is none.
func (c *followerController) last() acceptedRevision {
	c.resultsMutex.Lock()
	defer c.resultsMutex.Unlock()
	if len(c.acceptedRevisions) == 0 {
		return acceptedRevision{}
	}
	return c.acceptedRevisions[len(c.acceptedRevisions)-1]
}

// awaitAccepted waits until the client has accepted the log's current revision and its records in the client's scope.
func (c *followerController) awaitAccepted(log *groupLog) {
	c.t.Helper()
	waitFor(c.t, fmt.Sprintf("%s has accepted revision %d", c.client.config.Name, log.Revision()), func() bool {
		view := log.InScope(c.client.config.Scope.Normalized())
		want, revision := view.Records, view.Revision
		last := c.last()
		if last.revision != revision || last.routingRevision != view.RoutingRevision || len(last.records) != len(want) {
			return false
		}
		for _, record := range want {
			if accepted := last.records[record.Key]; accepted == nil || !accepted.SameContent(record) || accepted.Revision != record.Revision {
				return false
			}
		}
		return true
	})
}

// waitFor waits until holds returns true. It fails the test after testTimeout.
func waitFor(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %s: %s", testTimeout, condition)
		}
	}
}
