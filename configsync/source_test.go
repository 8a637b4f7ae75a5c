package configsync

import (
	"maps"
	"slices"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

// modelSource is a simple reference source. It retains all states, and Since uses a limited number of the latest ones.
type modelSource struct {
	states        []modelState     // oldest first
	historyLength int              // number of latest states that Since can start from; 0 means all
	changes       []records.Change // all changes, oldest first
}

type modelState struct {
	revision uint64
	records  map[records.Key]*records.Record
}

func newModelSource() *modelSource {
	return &modelSource{states: []modelState{{records: map[records.Key]*records.Record{}}}}
}

func (m *modelSource) latestState() modelState { return m.states[len(m.states)-1] }

// commit puts and removes records at a revision, and returns a change that contains only the revision.
func (m *modelSource) commit(revision uint64, put []*records.Record, removed ...records.Key) records.Change {
	next := maps.Clone(m.latestState().records)
	change := records.Change{Revision: revision}
	for _, record := range put {
		updated := *record
		updated.Revision = revision
		change.Updates = append(change.Updates, records.Update{Before: next[updated.Key], After: &updated})
		next[updated.Key] = &updated
	}
	for _, key := range removed {
		if next[key] != nil {
			change.Updates = append(change.Updates, records.Update{Before: next[key]})
		}
		delete(next, key)
	}
	m.states = append(m.states, modelState{revision, next})
	m.changes = append(m.changes, change)
	return records.Change{Revision: revision}
}

// routingRevision returns the revision of the last update of a route that touched a scope, or 0 if there is none.
func (m *modelSource) routingRevision(scope records.Scope) uint64 {
	for _, change := range slices.Backward(m.changes) {
		if slices.ContainsFunc(change.Updates, func(u records.Update) bool { return u.Key().Kind == records.KindRoute && scope.Touches(u) }) {
			return change.Revision
		}
	}
	return 0
}

func (m *modelSource) Revision() uint64 { return m.latestState().revision }

func (m *modelSource) InScope(scope records.Scope) records.View {
	return records.View{Records: recordsInScope(m.latestState().records, scope), Revision: m.Revision(), RoutingRevision: m.routingRevision(scope)}
}

func recordsInScope(all map[records.Key]*records.Record, scope records.Scope) (matching []*records.Record) {
	for _, key := range slices.SortedFunc(maps.Keys(all), records.Key.Compare) {
		if scope.Contains(all[key]) {
			matching = append(matching, all[key])
		}
	}
	return matching
}

func (m *modelSource) Since(revision uint64, scope records.Scope) records.Delta {
	delta := records.Delta{Revision: m.Revision(), RoutingRevision: m.routingRevision(scope)}
	baseIndex := -1
	for index, state := range m.states {
		if state.revision <= revision {
			baseIndex = index
		}
	}
	if m.historyLength > 0 && baseIndex < len(m.states)-m.historyLength {
		return delta
	}
	before, after := m.states[baseIndex].records, m.latestState().records
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, key := range slices.SortedFunc(maps.Keys(all), records.Key.Compare) {
		update := records.Update{Before: before[key], After: after[key]}
		if update.Before != update.After && scope.Touches(update) {
			delta.Updates = append(delta.Updates, update)
		}
	}
	delta.Available = true
	return delta
}

func newRecord(t testing.TB, key records.Key, spec any) *records.Record {
	t.Helper()
	record, err := records.New(key, spec)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// newRouteRecord returns a route record of a service.
func newRouteRecord(t testing.TB, name, service string, timeLimit float64) *records.Record {
	return newRecord(t, routeKey(name), records.RouteSpec{Service: service, Prefix: "/" + name, TimeLimitMS: timeLimit})
}

func routeKey(name string) records.Key { return records.Key{Kind: records.KindRoute, Name: name} }

func oneRecord(record *records.Record) []*records.Record { return []*records.Record{record} }

func serviceScope(names ...string) records.Scope { return records.Scope{Services: names}.Normalized() }

// connection is a stream between a follower and a member's server.
type connection struct {
	t        testing.TB
	server   *Server
	stream   *Stream
	follower *Follower
}

var testLimits = Limits{Lease: 3 * time.Second, MaxStreams: 100, FullScopeBytesPerSecond: 1 << 20, FullScopeBurstBytes: 1 << 20, RejectedBackoff: 10 * time.Second}

func connect(t testing.TB, server *Server, follower *Follower, now time.Time) *connection {
	t.Helper()
	stream, err := server.Open(now)
	if err != nil {
		t.Fatal(err)
	}
	c := &connection{t, server, stream, follower}
	c.request(now, follower.Begin(now))
	return c
}

func (c *connection) request(now time.Time, request *discoveryv3.DeltaDiscoveryRequest) {
	c.t.Helper()
	if err := c.server.Receive(now, c.stream, request); err != nil {
		c.t.Fatal(err)
	}
}

// send returns the next message, or nil if there is none.
func (c *connection) send(now time.Time) *discoveryv3.DeltaDiscoveryResponse {
	c.t.Helper()
	response, _, err := c.stream.Send(now)
	if err != nil {
		c.t.Fatal(err)
	}
	return response
}

// nextUpdate delivers heartbeats and returns the next update, or nil if there is none.
func (c *connection) nextUpdate(now time.Time) *discoveryv3.DeltaDiscoveryResponse {
	c.t.Helper()
	for {
		response := c.send(now)
		if response == nil || response.GetNonce() != "" {
			return response
		}
		c.receive(now, response)
	}
}

// receive passes a message to the follower and the follower's answer to the member.
func (c *connection) receive(now time.Time, response *discoveryv3.DeltaDiscoveryResponse) (accepted bool) {
	c.t.Helper()
	reply, accepted, err := c.follower.Receive(response)
	if err != nil {
		c.t.Fatal(err)
	}
	if reply != nil {
		c.request(now, reply)
	}
	return accepted
}

// maxDeliveries is greater than the number of messages that any test delivers at one time.
const maxDeliveries = 50

// deliverAll delivers messages until there are none left, and returns their number.
func (c *connection) deliverAll(now time.Time) (messages int) {
	c.t.Helper()
	for response := c.send(now); response != nil; response = c.send(now) {
		c.receive(now, response)
		if messages++; messages > maxDeliveries {
			c.t.Fatalf("got more than %d messages, want an end", maxDeliveries)
		}
	}
	return messages
}
