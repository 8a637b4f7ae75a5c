package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/raftlog"
	"harehook.dev/harehook/records"
)

// fullTextGroup is what a group that held full texts wrote: one member's snapshot of the first format after 50 entries,
// the entries after that with what became of them, and another member's snapshot after all of them. The program of
// commit 08d62a0 wrote it.
type fullTextGroup struct {
	Early   json.RawMessage `json:"early"`
	Late    json.RawMessage `json:"late"`
	Entries []struct {
		Index, Term uint64
		Data        json.RawMessage
		Number      uint64
		Refused     string
	} `json:"entries"`
}

func readFullTextGroup(t *testing.T) (saved fullTextGroup) {
	t.Helper()
	data, err := os.ReadFile("testdata/whole-texts.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &saved); err != nil {
		t.Fatal(err)
	}
	return saved
}

func restoredState(t *testing.T, snapshot []byte) *State {
	t.Helper()
	s := NewState(config.TextFormat{})
	if err := s.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestFullTextSnapshotIsRead restores a snapshot of the first format: each version has the configuration that its text
// had.
func TestFullTextSnapshotIsRead(t *testing.T) {
	saved := readFullTextGroup(t)
	s := restoredState(t, saved.Late)
	var old struct {
		Versions   []Version
		Clients    map[string]struct{}
		Identities map[uint64]string
		Addresses  map[uint64]string
	}
	if err := json.Unmarshal(saved.Late, &old); err != nil {
		t.Fatal(err)
	}
	if len(old.Versions) != maxFullTextVersions || len(s.Versions) != len(old.Versions) || len(s.sessions.byClient) != len(old.Clients) {
		t.Fatalf("%d versions of %d, %d clients of %d", len(s.Versions), len(old.Versions), len(s.sessions.byClient), len(old.Clients))
	}
	for k, was := range old.Versions {
		text, retained := s.TextOf(was.Number)
		parsed, err := config.TextFormat{}.Parse(was.Text)
		if err != nil {
			t.Fatal(err)
		}
		if want := (config.TextFormat{}).Format(parsed); !retained || text != want {
			t.Errorf("version %d, retained %v:\n%s\nwant\n%s", was.Number, retained, text, want)
		}
		was.Text = ""
		if s.Versions[k] != was {
			t.Errorf("%+v, want %+v", s.Versions[k], was)
		}
	}
	if diff := cmp.Diff(old.Identities, s.Identities) + cmp.Diff(old.Addresses, s.Addresses); diff != "" {
		t.Error(diff)
	}
}

// heldRecords are all records with their revisions.
func heldRecords(s *State) (lines []string) {
	view := s.Store().InScope(records.Scope{All: true})
	lines = append(lines, fmt.Sprint("as of ", view.Revision))
	for _, scope := range []records.Scope{{All: true}, {}, {Services: []string{"pay"}}} {
		lines = append(lines, fmt.Sprintf("routes of %+v changed at %d", scope, s.Store().InScope(scope).RoutingRevision))
	}
	for _, record := range view.Records {
		lines = append(lines, fmt.Sprintf("%s@%d %s", record.Key, record.Revision, record.Body))
	}
	return lines
}

// Members of a group that began with full texts convert them at different indexes of the log: one restores an early
// snapshot and applies the entries behind it, another restores a late one. If they held different revisions, the same
// transaction would conflict at one and be applied at the other. They have to agree on all that decides the result of
// later commands: the revisions of records, the versions that are retained and their records.
func TestMembersAgreeWhereverTheyConvertFullTexts(t *testing.T) {
	saved := readFullTextGroup(t)
	early, late := restoredState(t, saved.Early), restoredState(t, saved.Late)
	index := uint64(0)
	for _, e := range saved.Entries {
		index = e.Index
		if _, r := early.Apply(e.Index, e.Term, e.Data); r != (Result{e.Number, e.Refused}) {
			t.Fatalf("entry %d: %+v, it was %d %q", e.Index, r, e.Number, e.Refused)
		}
	}
	both := func(c Command) Result {
		t.Helper()
		index++
		data, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		_, a := early.Apply(index, 3, data)
		_, b := late.Apply(index, 3, data)
		if a != b {
			t.Fatalf("%+v at the early one, %+v at the late one", a, b)
		}
		if diff := cmp.Diff(heldRecords(early), heldRecords(late)); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(early.Versions, late.Versions); diff != "" {
			t.Fatal(diff)
		}
		return a
	}
	write := records.Write{Key: records.Key{Kind: records.KindService, Name: "pay"}, Body: []byte(`{}`)}
	if r := both(Command{Kind: CommandRecords, Client: "a", Seq: 1, Writes: []records.Write{write}}); r.Rejected == "" {
		t.Error("a transaction was accepted before revisions count")
	}
	both(Command{Kind: CommandRollBack, Client: "a", Seq: 2, Base: early.Latest().Number, To: early.Versions[3].Number})
	both(Command{Kind: CommandSetFormat, Client: "a", Seq: 3})
	if r := both(Command{Kind: CommandRecords, Client: "a", Seq: 4, Writes: []records.Write{write}}); r.Rejected != "" {
		t.Error(r.Rejected)
	}
	for k, v := range early.Versions[2:] {
		if r := both(Command{Kind: CommandRollBack, Client: "a", Seq: 5 + uint64(k), Base: early.Latest().Number, To: v.Number}); r.Rejected != "" {
			t.Errorf("back to version %d: %s", v.Number, r.Rejected)
		}
	}
}

// TestUnreadableSnapshotsAreRefused has a state of one version, which each unreadable snapshot has to leave as it is.
func TestUnreadableSnapshotsAreRefused(t *testing.T) {
	script := newCommandScript(t)
	script.apply(putCommand("a", 1, 0, "one"))
	good, err := script.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	newer := append([]byte{}, good...)
	newer[len(snapshotMagic)]++
	cases := map[string][]byte{
		"newer format":       newer,
		"cut short":          good[:len(good)-1],
		"no header":          []byte(snapshotMagic),
		"bad text in effect": []byte(`{"versions":[{"number":9,"text":"bad"}]}`),
	}
	for name, data := range cases {
		if err := script.state.Restore(data); err == nil {
			t.Errorf("%s: it was accepted", name)
		}
	}
	if again, _ := script.state.Snapshot(); string(again) != string(good) {
		t.Error("a refused snapshot changed the state")
	}
}

// TestLeaderProposesTheRecordsFormat starts a node on a disk of the first format: as its leader it has revisions count
// without anyone asking, and then takes transactions.
func TestLeaderProposesTheRecordsFormat(t *testing.T) {
	saved := readFullTextGroup(t)
	meta := &raftpb.SnapshotMetadata{Index: proto.Uint64(110), Term: proto.Uint64(2), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}
	disk := &raftlog.SavedState{
		Identity: "disk-1", Snapshot: &raftpb.Snapshot{Data: saved.Late, Metadata: meta},
		HardState: &raftpb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(1), Commit: proto.Uint64(110)},
	}
	n := newLeaderFrom(t, disk, NewState(config.TextFormat{}), func(*Node) {})
	write := recordsCommand("a", recordWrite(records.KindService, "pay", 0, records.ServiceSpec{}))
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(tickInterval) {
		r, err := n.handlePropose(t.Context(), write)
		if err != nil {
			t.Fatal(err)
		}
		if r.Rejected == "" {
			break
		}
		if !strings.Contains(r.Rejected, "does not count revisions") || time.Now().After(until) {
			t.Fatal(r.Rejected)
		}
		write.Seq++
	}
	if v, err := n.ReadLocal(t.Context()); err != nil || !strings.Contains(v.Text, `service "pay"`) || !strings.Contains(v.Text, `route "route-0"`) {
		t.Errorf("%+v, %v", v, err)
	}
}
