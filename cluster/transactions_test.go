package cluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
	"harehook.dev/harehook/records"
)

func recordWrite(kind records.Kind, name string, expect uint64, spec any) records.Write {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return records.Write{Key: records.Key{Kind: kind, Name: name}, Body: body, ExpectedRevision: expect}
}

func transaction(client string, writes ...records.Write) Command {
	return Command{Kind: CommandRecords, Client: client, Seq: 1, Writes: writes, By: "operator", Why: "why"}
}

// TestTransactionsBesideWholeTexts changes records beside whole texts: conflicts are named, a transaction counts as a version, and going
// back reverses it.
func TestTransactionsBesideWholeTexts(t *testing.T) {
	l := newCommandScript(t)
	var changes []records.Change
	l.state.OnCommit = func(c records.Change) { changes = append(changes, c) }
	refused := func(c Command, want string) {
		t.Helper()
		if r := l.apply(c); want == "" && r.Rejected != "" || !strings.Contains(r.Rejected, want) {
			t.Errorf("%q, want %q", r.Rejected, want)
		}
	}
	refused(put("a", 1, 0, "one"), "") // version 11
	pay, tenant := recordWrite(records.KindService, "pay", 0, records.ServiceSpec{}), recordWrite(records.KindTenant, "x", 0, records.TenantSpec{Service: "pay", Share: 0.5})
	refused(transaction("b", pay, tenant), "")                                                                                  // 12
	refused(transaction("c", pay), "changed since it was read: service/pay exists with revision 12")                            // 13
	refused(transaction("d", recordWrite(records.KindTenant, "x", 12, records.TenantSpec{Service: "pay", Share: 1})), "")       // 14
	refused(transaction("e", recordWrite(records.KindTenant, "x", 12, records.TenantSpec{Service: "pay", Share: 1})), "has re") // 15
	refused(transaction("f"), "at least one record")
	refused(put("g", 1, 14, "two"), "") // 17: names no service and no tenant, and leaves them
	if held := l.state.Store().Get(tenant.Key); held == nil || held.Revision != 14 {
		t.Errorf("the tenant after a text of routes: %+v", held)
	}
	if v := l.state.Current(); v.Text != "two" || v.Number != 17 {
		t.Errorf("%+v", v)
	}
	refused(Command{Kind: CommandRollBack, Client: "h", Seq: 1, Base: 17, To: 12}, "") // 18
	if spec, err := l.state.Store().Get(tenant.Key).Tenant(); err != nil || spec.Share != 0.5 || l.state.Current().Text != "one" {
		t.Errorf("after going back: %+v, %v, %q", spec, err, l.state.Current().Text)
	}
	refused(Command{Kind: CommandRollBack, Client: "i", Seq: 1, Base: 18, To: 18}, "")
	var told []string
	for _, change := range changes {
		told = append(told, fmt.Sprint(change.Revision, ":", len(change.Updates)))
	}
	if got := strings.Join(told, " "); got != "11:1 12:2 14:1 17:1 18:2 19:0" {
		t.Error(got)
	}
	snapshot, err := l.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	store := l.state.Store()
	if err := l.state.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if last := changes[len(changes)-1]; !last.Reset || last.Revision != 19 || l.state.Store() != store {
		t.Errorf("after a snapshot: %+v, another store: %v", last, l.state.Store() != store)
	}
}

// TestRollBackToForgottenVersionIsRejected goes back to a version whose changes are not kept any more, which is refused and changes nothing.
func TestRollBackToForgottenVersionIsRejected(t *testing.T) {
	l := newCommandScript(t)
	l.apply(put("a", 1, 0, "one"))
	l.apply(put("b", 1, 11, "two"))
	l.state.Store().Forget()
	if r := l.apply(Command{Kind: CommandRollBack, Client: "c", Seq: 1, Base: 12, To: 11}); r.Rejected != "the changes since version 11 are not kept" || r.Version != 12 {
		t.Errorf("%+v", r)
	}
}

// TestLeastRecentlyUsedClientIsForgotten compares the sessions with a search for the oldest at each command.
func TestLeastRecentlyUsedClientIsForgotten(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s, plain := newSessions(), map[string]uint64{}
	for index := range uint64(20000) {
		client := fmt.Sprint(random.IntN(3 * maxClients))
		if one := s.byClient[client]; one != nil && random.IntN(2) == 0 {
			s.touch(one, index)
		} else {
			s.record(client, index, Result{}, index)
		}
		plain[client] = index
		if len(plain) > maxClients {
			oldest := client
			for other, used := range plain {
				if used < plain[oldest] {
					oldest = other
				}
			}
			delete(plain, oldest)
		}
		if index == 10000 {
			s = restoreSessions(s.byClient)
		}
	}
	if len(plain) != len(s.byClient) || s.byLastIndex.Len() != len(plain) {
		t.Fatalf("%d, %d and %d clients", len(plain), len(s.byClient), s.byLastIndex.Len())
	}
	for client, used := range plain {
		if one := s.byClient[client]; one == nil || one.LastIndex != used {
			t.Fatalf("client %s: %+v, used at %d", client, one, used)
		}
	}
}

// The sizes that operators expect.
const (
	expectedServices = 570
	expectedTenants  = 140000
)

// filledState makes a state of a part of the expected size, and gives its next place of the log.
func filledState(t testing.TB, size float64) (s *State, index uint64) {
	t.Helper()
	s = NewState(nil)
	services, tenants := int(expectedServices*size), int(expectedTenants*size)
	var writes []records.Write
	flush := func() {
		index++
		mustApply(t, s, index, transaction(fmt.Sprint("fill-", index), writes...))
		writes = nil
	}
	for i := range services + tenants {
		if i < services {
			writes = append(writes, recordWrite(records.KindService, fmt.Sprint("service-", i), 0, records.ServiceSpec{}))
		} else {
			writes = append(writes, tenantWrite(i-services, services, 0, 0.001))
		}
		if len(writes) == records.MaxTransactionWrites || i == services+tenants-1 {
			flush()
		}
	}
	return s, index + 1
}

func tenantWrite(i, services int, expect uint64, share float64) records.Write {
	return recordWrite(records.KindTenant, fmt.Sprintf("tenant-%06d", i), expect, records.TenantSpec{Service: fmt.Sprint("service-", i%services), Share: share})
}

func mustApply(t testing.TB, s *State, index uint64, c Command) (entryBytes int) {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	if _, r := s.Apply(index, 1, data); r.Rejected != "" {
		t.Fatal(r.Rejected)
	}
	return len(data)
}

// entryCost is what the entry of one change takes.
type entryCost struct{ allocations, bytes, logBytes float64 }

// costOfEntry measures the mean over many changes of one tenant. After each one more is done, nil for nothing.
func costOfEntry(t testing.TB, size float64, more func(*State)) (cost entryCost) {
	t.Helper()
	s, index := filledState(t, size)
	s.Store().Forget()
	const changes = 1000
	services, tenants := int(expectedServices*size), int(expectedTenants*size)
	entries := make([][]byte, changes)
	for i := range entries {
		write := tenantWrite(i*7919%tenants, services, 0, 0.002+float64(i)*1e-6)
		write.AnyRevision = true
		data, err := json.Marshal(transaction(fmt.Sprintf("operator-%07d", i), write))
		if err != nil {
			t.Fatal(err)
		}
		entries[i] = data
		cost.logBytes += float64(len(data)) / changes
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i, data := range entries {
		if _, r := s.Apply(index+uint64(i), 1, data); r.Rejected != "" {
			t.Fatal(r.Rejected)
		}
		if more != nil {
			more(s)
		}
	}
	runtime.ReadMemStats(&after)
	cost.allocations = float64(after.Mallocs-before.Mallocs) / changes
	cost.bytes = float64(after.TotalAlloc-before.TotalAlloc) / changes
	return cost
}

func (small entryCost) growthFault(large entryCost) string {
	const most = 1.2
	if large.allocations > most*small.allocations || large.bytes > most*small.bytes || large.logBytes > most*small.logBytes {
		return fmt.Sprintf("%+v at a tenth, %+v at the whole", small, large)
	}
	return ""
}

// TestEntryCostDoesNotGrowWithTheState compares the entry of one change, its application and the memory that takes at a tenth of
// the expected size and at the whole: counts and bytes, not times.
func TestEntryCostDoesNotGrowWithTheState(t *testing.T) {
	small, large := costOfEntry(t, 0.1, nil), costOfEntry(t, 1, nil)
	t.Logf("a tenth: %+v; the whole: %+v", small, large)
	if fault := small.growthFault(large); fault != "" {
		t.Error(fault)
	}
	planted := func(s *State) { s.Store().OfKinds(records.KindTenant) } // as one who looks at all records at each change
	smallPlanted, largePlanted := costOfEntry(t, 0.01, planted), costOfEntry(t, 0.1, planted)
	if smallPlanted.growthFault(largePlanted) == "" {
		t.Errorf("a planted look at all is not caught: %+v and %+v", smallPlanted, largePlanted)
	}
}

// snapshotCounter is a log in memory that counts the snapshots it is given.
type snapshotCounter struct{ snapshots int }

func (c *snapshotCounter) save(b raftlog.Batch) error {
	if b.Snapshot != nil {
		c.snapshots++
	}
	return nil
}

// TestLargeSnapshotsWaitForALongerLog counts the snapshots that 100 entries lead to: a small state is cut every 21 entries, a large
// one only once the log has an eighth of its size.
func TestLargeSnapshotsWaitForALongerLog(t *testing.T) {
	for name, c := range map[string]struct {
		size float64
		want int
	}{"small": {0.01, 4}, "large": {0.2, 0}} {
		state, _ := filledState(t, c.size)
		timing := Timing{ElectionTicks: 10, HeartbeatTicks: 2, CompactAfterEntries: 20}
		m, _, err := Start(1, &raftlog.SavedState{Identity: "disk"}, []uint64{1}, state, timing, 1)
		if err != nil {
			t.Fatal(err)
		}
		var disk snapshotCounter
		turn := func() {
			t.Helper()
			if _, _, _, err := m.Advance(disk.save); err != nil {
				t.Fatal(err)
			}
		}
		for m.role != raft.StateLeader {
			m.Tick()
			turn()
		}
		for i := range 100 {
			register := Command{Kind: CommandRegister, Client: fmt.Sprint("m-", i), Seq: 1, Member: 7, Identity: "x"}
			if err := m.Propose(register); err != nil {
				t.Fatal(err)
			}
			turn()
		}
		if disk.snapshots != c.want {
			t.Errorf("%s (%d bytes): %d snapshots, want %d", name, m.snapshotBytes, disk.snapshots, c.want)
		}
		for range 120 { // ten times the entries are the most that a snapshot waits for
			m.Propose(Command{Kind: CommandRegister, Client: "m", Seq: m.appliedIndex + 1, Member: 7, Identity: "x"})
			turn()
		}
		if disk.snapshots == 0 {
			t.Errorf("%s: the log of %d entries is never cut", name, m.Status().Entries)
		}
	}
}

// TestNodeReportsCommittedRecords has a node agree on a transaction: Records gives it, Committed told of it, and a proposal that
// Before does not want is not made.
func TestNodeReportsCommittedRecords(t *testing.T) {
	committed := make(chan records.Change, 10)
	n := newLeaderWith(t, func(n *Node) {
		n.OnCommit = func(c records.Change) { committed <- c }
		n.CheckProposal = func(proposed []*records.Record) error {
			for _, record := range proposed {
				if record.Kind == records.KindTenant {
					return fmt.Errorf("a tenant is asked about")
				}
				if record.Name == "unwanted" {
					return fmt.Errorf("it does not fit")
				}
			}
			return nil
		}
	})
	source := n.Records()
	pay := recordWrite(records.KindService, "pay", 0, records.ServiceSpec{})
	tenant := recordWrite(records.KindTenant, "x", 0, records.TenantSpec{Service: "pay", Share: 1})
	r, err := n.handlePropose(t.Context(), transaction("a", pay, tenant))
	if err != nil || r.Rejected != "" {
		t.Fatalf("%+v, %v", r, err)
	}
	if change := <-committed; change.Revision != r.Version || len(change.Updates) != 2 || change.Reset {
		t.Errorf("%+v", change)
	}
	if view := source.InScope(records.Scope{Services: []string{"pay"}}); len(view.Records) != 2 || view.Revision != r.Version {
		t.Errorf("%d records as of %d", len(view.Records), view.Revision)
	}
	if _, err := n.handlePropose(t.Context(), transaction("b", recordWrite(records.KindService, "unwanted", 0, records.ServiceSpec{}))); err == nil || !strings.Contains(err.Error(), "it does not fit") {
		t.Errorf("%v", err)
	}
	if _, err := n.handlePropose(t.Context(), Command{Kind: CommandRegister, Client: "c", Seq: 1}); err == nil {
		t.Error("an operator registered a member")
	}
	reading, err := n.handleRecords(t.Context(), RecordsRequest{Service: "pay", Kind: records.KindTenant})
	if err != nil || len(reading.Records) != 1 || reading.Records[0].Key != tenant.Key || reading.Records[0].Revision != r.Version {
		t.Errorf("%+v, %v", reading, err)
	}
	if len(committed) != 0 || source.Revision() != r.Version {
		t.Errorf("%d changes more, revision %d", len(committed), source.Revision())
	}
}

// BenchmarkSnapshot measures what cutting the log costs: encoding the state, and keeping it on a disk.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []float64{1, 2} {
		b.Run(fmt.Sprintf("size=%g", size), func(b *testing.B) {
			s, index := filledState(b, size)
			s.Store().Forget()
			disk, _, err := raftlog.Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer disk.Close()
			for b.Loop() {
				data, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(data)))
				index++
				meta := &raftpb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}
				if err := disk.Save(raftlog.Batch{Snapshot: &raftpb.Snapshot{Data: data, Metadata: meta}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRestore measures what a start, or a snapshot of another member, costs.
func BenchmarkRestore(b *testing.B) {
	s, _ := filledState(b, 1)
	s.Store().Forget()
	data, err := s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := NewState(nil).Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEntry(b *testing.B) {
	for _, size := range []float64{0.1, 1} {
		b.Run(fmt.Sprintf("size=%g", size), func(b *testing.B) {
			s, index := filledState(b, size)
			services, tenants := int(expectedServices*size), int(expectedTenants*size)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				write := tenantWrite(i*7919%tenants, services, 0, 0.002+float64(i%5000)*1e-7)
				write.AnyRevision = true
				mustApply(b, s, index+uint64(i), transaction(fmt.Sprint("operator-", i), write))
			}
		})
	}
}
