package configsync

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/records"
)

// Upper bounds in bytes: for a changed record sent to a follower whose scope contains it, in addition to its name and
// body, and for the empty update sent to the other followers.
const (
	maxRecordOverhead   = 1 << 10
	maxEmptyUpdateBytes = 128
)

// followerGroup is a member with followers that are up to date. Each follower has its own service with one route.
type followerGroup struct {
	*testMember
	followers []*connection
}

func newFollowerGroup(t testing.TB, size int) *followerGroup {
	source := newModelSource()
	source.historyLength = 3
	limits := testLimits
	limits.MaxStreams, limits.FullScopeBytesPerSecond, limits.FullScopeBurstBytes = size, 1<<30, 1<<30
	group := &followerGroup{testMember: &testMember{t, source, NewServer("m1", source, limits, at(0))}}
	var all []*records.Record
	for n := range size {
		all = append(all, newRouteRecord(t, fmt.Sprint("r", n), fmt.Sprint("s", n), 10))
	}
	group.commit(at(0), 1, all)
	for n := range size {
		follower := NewFollower(fmt.Sprint("f", n), serviceScope(fmt.Sprint("s", n)), limits.Lease, nil)
		conn := connect(t, group.server, follower, at(0))
		conn.deliverAll(at(0))
		group.followers = append(group.followers, conn)
	}
	return group
}

// commitChange commits a change of the first route, delivers all messages, and returns their number and sizes.
func (g *followerGroup) commitChange(revision uint64) (messages, interestedBytes, otherBytes int) {
	g.commit(at(0), revision, oneRecord(newRouteRecord(g.t, "r0", "s0", float64(revision))))
	for n, follower := range g.followers {
		for response := follower.send(at(0)); response != nil; response = follower.send(at(0)) {
			messages++
			if n == 0 {
				interestedBytes += proto.Size(response)
			} else {
				otherBytes = max(otherBytes, proto.Size(response))
			}
			follower.receive(at(0), response)
		}
	}
	return messages, interestedBytes, otherBytes
}

// A change causes one message to each follower: a delta to the one whose scope contains it, an empty update to the
// others.
func TestChangeMessageSizes(t *testing.T) {
	const size = 50
	group := newFollowerGroup(t, size)
	if got := group.server.Counts; got.FullScopes != size || got.Heartbeats != size {
		t.Errorf("at the start: got %+v, want %d full scopes and heartbeats", got, size)
	}
	record := newRouteRecord(t, "r0", "s0", 10)
	for revision := uint64(2); revision < 12; revision++ {
		messages, interested, other := group.commitChange(revision)
		if messages != size {
			t.Errorf("revision %d: got %d messages, want one for each of %d followers", revision, messages, size)
		}
		if interested > len(record.Name)+len(record.Body)+maxRecordOverhead {
			t.Errorf("revision %d: got %d bytes for the interested follower, want at most %d", revision, interested,
				len(record.Name)+len(record.Body)+maxRecordOverhead)
		}
		if other > maxEmptyUpdateBytes {
			t.Errorf("revision %d: got %d bytes for another follower, want at most %d", revision, other, maxEmptyUpdateBytes)
		}
		t.Log(messages, "messages;", interested, "bytes for the interested follower,", other, "for each other follower")
	}
	if got := group.server.Counts; got.FullScopes != size || got.Changes != 10 || got.EmptyUpdates != 10*(size-1) {
		t.Errorf("got %+v, want %d full scopes, 10 changes and %d empty updates", got, size, 10*(size-1))
	}
}

// The number of allocations per revision and follower does not grow with the number of followers.
func TestAllocationsPerFollowerDoNotGrow(t *testing.T) {
	perFollower := func(size int) float64 {
		group := newFollowerGroup(t, size)
		source := &emptyUpdateSource{Source: group.source, revision: 1}
		group.server.source = source
		return testing.AllocsPerRun(20, func() {
			source.revision++
			for _, follower := range group.followers {
				follower.deliverAll(at(0))
			}
		}) / float64(size)
	}
	few, many := perFollower(20), perFollower(400)
	t.Logf("%.1f allocations per follower with 20 followers, %.1f with 400", few, many)
	if many > 1.2*few {
		t.Errorf("got %.1f allocations per follower with 400 followers, want at most 1.2 times the %.1f with 20", many, few)
	}
}

// The number of allocations of a commit does not grow with the number of leases.
func TestCommittedAllocationsAreBounded(t *testing.T) {
	group := newFollowerGroup(t, 500)
	revision := uint64(1)
	if got := testing.AllocsPerRun(1000, func() {
		revision++
		group.server.Committed(at(0), revision)
	}); got > 1 {
		t.Errorf("got %v allocations per commit, want at most 1", got)
	}
}

// BenchmarkCommitted measures the cost of a commit for different numbers of leases.
func BenchmarkCommitted(b *testing.B) {
	for _, size := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			group := newFollowerGroup(b, size)
			revision := uint64(1)
			for b.Loop() {
				revision++
				group.server.Committed(at(0), revision)
			}
		})
	}
}

// BenchmarkSendChange measures the cost of sending empty updates to followers, with a source of negligible cost.
func BenchmarkSendChange(b *testing.B) {
	for _, size := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			group := newFollowerGroup(b, size)
			source := &emptyUpdateSource{Source: group.source, revision: 1}
			group.server.source = source
			b.ReportAllocs()
			for b.Loop() {
				source.revision++
				for _, follower := range group.followers {
					follower.deliverAll(at(0))
				}
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(size), "ns/follower")
		})
	}
}

// emptyUpdateSource is a source whose revisions change no records.
type emptyUpdateSource struct {
	records.Source
	revision uint64
}

func (s *emptyUpdateSource) Revision() uint64 { return s.revision }

func (s *emptyUpdateSource) Since(uint64, records.Scope) records.Delta {
	return records.Delta{Revision: s.revision, RoutingRevision: 1, Available: true}
}

// The overhead of a record on the wire beyond its name and body is not larger than documented at MaxMessage.
func TestRecordOverhead(t *testing.T) {
	var all []*records.Record
	bytes := 0
	for n := range 1000 {
		record := withRevision(newRecord(t, records.Key{Kind: records.KindTenant, Name: fmt.Sprint("tenant-", n)},
			records.TenantSpec{Service: fmt.Sprint("service-", n), Share: 0.001}), 123456789)
		all, bytes = append(all, record), bytes+len(record.Name)+len(record.Body)
	}
	message := proto.Size(encodeUpdate(t, Update{Revision: 123456789, Nonce: "1", FullScope: true, Records: all}))
	overhead := (message - bytes) / len(all)
	t.Logf("%d bytes per record, %d beyond its name and body", message/len(all), overhead)
	if overhead > 90 {
		t.Errorf("got %d bytes per record beyond its name and body, want at most 90", overhead)
	}
	const doubledTenantCount = 280000
	if doubledTenantCount*message/len(all) > MaxMessage {
		t.Errorf("%d tenants of %d bytes each: larger than a message of %d bytes", doubledTenantCount, message/len(all), MaxMessage)
	}
}
