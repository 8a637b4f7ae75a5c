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
	// testLease is the lease of these tests: long beside a busy machine's delays, short beside their deadlines.
	testLease = 2 * time.Second
	// testTimeout is how long these tests wait for what has to come.
	testTimeout = 60 * time.Second
)

// log is a group's log as one member has applied it, with a bounded history.
type log struct {
	mutex    sync.Mutex
	history  int // changes that are kept
	revision uint64
	held     map[records.Key]*records.Record
	changes  []records.Change
	member   *member
}

func newLog(history int) *log {
	return &log{history: history, held: map[records.Key]*records.Record{}}
}

// Revision is that of the last change.
func (l *log) Revision() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.revision
}

// InScope gives a scope whole.
func (l *log) InScope(scope records.Scope) records.View {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	view := records.View{Revision: l.revision, RoutingRevision: l.routing(scope)}
	for _, record := range l.held {
		if scope.Contains(record) {
			view.Records = append(view.Records, record)
		}
	}
	slices.SortFunc(view.Records, func(a, b *records.Record) int { return a.Key.Compare(b.Key) })
	return view
}

// routing is the highest revision of a scope's routes, none of which is ever removed or moved here.
func (l *log) routing(scope records.Scope) (highest uint64) {
	for _, record := range l.held {
		if scope.Contains(record) {
			highest = max(highest, record.Revision)
		}
	}
	return highest
}

// Since gives what changed in a scope.
func (l *log) Since(revision uint64, scope records.Scope) records.Delta {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delta := records.Delta{Revision: l.revision, RoutingRevision: l.routing(scope)}
	if l.revision-min(l.revision, revision) > uint64(len(l.changes)) {
		return delta
	}
	differs := map[records.Key]records.Update{}
	for _, change := range l.changes {
		if change.Revision <= revision {
			continue
		}
		for _, update := range change.Updates {
			if !scope.Touches(update) {
				continue
			}
			if earlier, known := differs[update.Key()]; known {
				update.Before = earlier.Before
			}
			differs[update.Key()] = update
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(differs), records.Key.Compare) {
		delta.Updates = append(delta.Updates, differs[key])
	}
	delta.Available = true
	return delta
}

// put sets a route as the next revision and has the member's streams told.
func (l *log) put(t testing.TB, name, service string, limit float64) uint64 {
	t.Helper()
	key := records.Key{Kind: records.KindRoute, Name: name}
	record, err := records.New(key, records.RouteSpec{Service: service, Prefix: "/" + name, TimeLimitMS: limit})
	if err != nil {
		t.Fatal(err)
	}
	l.mutex.Lock()
	l.revision++
	record.Revision = l.revision
	change := records.Change{Revision: l.revision, Updates: []records.Update{{Before: l.held[key], After: record}}}
	l.held[key] = record
	l.changes = append(l.changes, change)
	l.changes = l.changes[max(0, len(l.changes)-l.history):]
	told := l.member
	l.mutex.Unlock()
	if told != nil {
		told.service.Committed(change)
	}
	return change.Revision
}

// member is a member's service on a loopback socket, which may be stopped and started again on the same address.
type member struct {
	t       testing.TB
	log     *log
	limits  configsync.Limits
	address string
	service *Service
	server  *grpc.Server
	ended   chan struct{}
}

func testLimits() configsync.Limits {
	limits := configsync.DefaultLimits
	limits.Lease = testLease
	return limits
}

func newMember(t testing.TB, log *log, limits configsync.Limits) *member {
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
	m.server, m.ended = cluster.NewServer(nil), make(chan struct{})
	m.service.Register(m.server)
	m.log.mutex.Lock()
	m.log.member = m
	m.log.mutex.Unlock()
	go func() { defer close(m.ended); m.server.Serve(listener) }()
}

func (m *member) stop() {
	m.server.Stop()
	<-m.ended
}

// accepted is a revision as a follower told it.
type accepted struct {
	revision uint64
	routing  uint64
	held     map[records.Key]*records.Record
}

// conductor is a client that runs, and what it told.
type conductor struct {
	t      testing.TB
	client *Client
	stop   func()

	mutex sync.Mutex
	told  []accepted
	stale []bool
}

func newConductor(t testing.TB, config Config) *conductor {
	t.Helper()
	c := &conductor{t: t}
	config.Name = cmp.Or(config.Name, "conductor")
	config.Lease = cmp.Or(config.Lease, testLease)
	config.Accepted = func(revision uint64, held map[records.Key]*records.Record) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.told = append(c.told, accepted{revision, c.client.RoutingRevision(), maps.Clone(held)})
	}
	config.StaleChanged = func(stale bool) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.stale = append(c.stale, stale)
	}
	var err error
	if c.client, err = NewClient(config); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.client.Run(ctx) }()
	c.stop = func() { cancel(); <-ended }
	t.Cleanup(func() { c.stop(); c.check() })
	return c
}

// check looks at all that was told: revisions only rise.
func (c *conductor) check() {
	c.t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for at := 1; at < len(c.told); at++ {
		if c.told[at].revision <= c.told[at-1].revision {
			c.t.Errorf("%s accepted revision %d after %d", c.client.config.Name, c.told[at].revision, c.told[at-1].revision)
		}
	}
}

// last is what was accepted last.
func (c *conductor) last() accepted {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.told) == 0 {
		return accepted{}
	}
	return c.told[len(c.told)-1]
}

// awaitHolds waits until a conductor holds what a log has of its scope.
func (c *conductor) awaitHolds(log *log) {
	c.t.Helper()
	until(c.t, fmt.Sprintf("%s holds revision %d", c.client.config.Name, log.Revision()), func() bool {
		view := log.InScope(c.client.config.Scope.Normalized())
		want, revision := view.Records, view.Revision
		last := c.last()
		if last.revision != revision || last.routing != view.RoutingRevision || len(last.held) != len(want) {
			return false
		}
		for _, record := range want {
			if held := last.held[record.Key]; held == nil || !held.SameContent(record) || held.Revision != record.Revision {
				return false
			}
		}
		return true
	})
}

// until waits for a condition.
func until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", testTimeout, what)
		}
	}
}
