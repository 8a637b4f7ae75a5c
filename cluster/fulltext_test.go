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

// fullTextGroup is the data of a group that stored full texts, written by the program of commit 08d62a0. Early is the
// snapshot of one member in the first format, after 50 entries. Entries are the entries after that with their results.
// Late is the snapshot of another member after all entries.
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

// After a snapshot of the first format is restored, each version must have the configuration of its full text.
func TestRestoreFullTextSnapshot(t *testing.T) {
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
		t.Fatalf("got %d versions and %d clients, want %d and %d; the snapshot must have %d versions",
			len(s.Versions), len(s.sessions.byClient), len(old.Versions), len(old.Clients), maxFullTextVersions)
	}
	for i, oldVersion := range old.Versions {
		text, retained := s.TextOf(oldVersion.Number)
		parsed, err := config.TextFormat{}.Parse(oldVersion.Text)
		if err != nil {
			t.Fatal(err)
		}
		if want := (config.TextFormat{}).Format(parsed); !retained || text != want {
			t.Errorf("version %d: got retained %v and text\n%s\nwant true and\n%s", oldVersion.Number, retained, text, want)
		}
		oldVersion.Text = ""
		if s.Versions[i] != oldVersion {
			t.Errorf("got version %+v, want %+v", s.Versions[i], oldVersion)
		}
	}
	if diff := cmp.Diff(old.Identities, s.Identities) + cmp.Diff(old.Addresses, s.Addresses); diff != "" {
		t.Error(diff)
	}
}

// describeRecords describes all records with their revisions.
func describeRecords(s *State) (lines []string) {
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

// Members of a group that began with full texts convert them at different log indexes: one member restores an early
// snapshot and applies the entries after it, another restores a late snapshot. If their revisions differed, the same
// transaction would conflict at one member and be applied at the other. Members must therefore agree on everything that
// determines the results of later commands: the revisions of records, the retained versions and their records.
func TestFullTextConversionIsIndependentOfLogIndex(t *testing.T) {
	saved := readFullTextGroup(t)
	early, late := restoredState(t, saved.Early), restoredState(t, saved.Late)
	index := uint64(0)
	for _, e := range saved.Entries {
		index = e.Index
		if _, result := early.Apply(e.Index, e.Term, e.Data); result != (Result{e.Number, e.Refused}) {
			t.Fatalf("entry %d: got %+v, want version %d, rejection %q", e.Index, result, e.Number, e.Refused)
		}
	}
	applyToBoth := func(c Command) Result {
		t.Helper()
		index++
		data, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		_, a := early.Apply(index, 3, data)
		_, b := late.Apply(index, 3, data)
		if a != b {
			t.Fatalf("command %+v: got %+v from the early snapshot and %+v from the late one, want equal results", c, a, b)
		}
		if diff := cmp.Diff(describeRecords(early), describeRecords(late)); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(early.Versions, late.Versions); diff != "" {
			t.Fatal(diff)
		}
		return a
	}
	write := records.Write{Key: records.Key{Kind: records.KindService, Name: "pay"}, Body: []byte(`{}`)}
	if result := applyToBoth(Command{Kind: CommandRecords, Client: "a", Seq: 1, Writes: []records.Write{write}}); result.Rejected == "" {
		t.Error("a transaction was accepted before CommandSetFormat")
	}
	applyToBoth(Command{Kind: CommandRollBack, Client: "a", Seq: 2, Base: early.Latest().Number, To: early.Versions[3].Number})
	applyToBoth(Command{Kind: CommandSetFormat, Client: "a", Seq: 3})
	if result := applyToBoth(Command{Kind: CommandRecords, Client: "a", Seq: 4, Writes: []records.Write{write}}); result.Rejected != "" {
		t.Errorf("transaction after CommandSetFormat: got rejection %q, want none", result.Rejected)
	}
	for i, v := range early.Versions[2:] {
		if result := applyToBoth(Command{Kind: CommandRollBack, Client: "a", Seq: 5 + uint64(i), Base: early.Latest().Number, To: v.Number}); result.Rejected != "" {
			t.Errorf("rollback to version %d: got rejection %q, want none", v.Number, result.Rejected)
		}
	}
}

// Restore must return an error for each invalid snapshot and leave the state unchanged.
func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	script := newCommandScript(t)
	script.apply(putCommand("a", 1, 0, "one"))
	valid, err := script.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	newerFormat := append([]byte{}, valid...)
	newerFormat[len(snapshotMagic)]++
	cases := map[string][]byte{
		"newer format":           newerFormat,
		"truncated":              valid[:len(valid)-1],
		"no header":              []byte(snapshotMagic),
		"invalid text in effect": []byte(`{"versions":[{"number":9,"text":"bad"}]}`),
	}
	for name, data := range cases {
		if err := script.state.Restore(data); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
	if after, _ := script.state.Snapshot(); string(after) != string(valid) {
		t.Error("a rejected snapshot changed the state")
	}
}

// A node that starts from a snapshot of the first format must propose CommandSetFormat by itself once it is the leader,
// and then accept transactions.
func TestLeaderProposesSetFormat(t *testing.T) {
	saved := readFullTextGroup(t)
	meta := &raftpb.SnapshotMetadata{Index: proto.Uint64(110), Term: proto.Uint64(2), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}
	disk := &raftlog.SavedState{
		Identity: "disk-1", Snapshot: &raftpb.Snapshot{Data: saved.Late, Metadata: meta},
		HardState: &raftpb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(1), Commit: proto.Uint64(110)},
	}
	n := newLeaderFrom(t, disk, NewState(config.TextFormat{}), func(*Node) {})
	write := recordsCommand("a", recordWrite(records.KindService, "pay", 0, records.ServiceSpec{}))
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(tickInterval) {
		result, err := n.handlePropose(t.Context(), write)
		if err != nil {
			t.Fatal(err)
		}
		if result.Rejected == "" {
			break
		}
		if !strings.Contains(result.Rejected, "does not count revisions") || time.Now().After(deadline) {
			t.Fatalf("got rejection %q, want none within 20 s", result.Rejected)
		}
		write.Seq++
	}
	if version, err := n.ReadLocal(t.Context()); err != nil || !strings.Contains(version.Text, `service "pay"`) || !strings.Contains(version.Text, `route "route-0"`) {
		t.Errorf("got version %+v, error %v, want a text with service pay and route route-0", version, err)
	}
}
