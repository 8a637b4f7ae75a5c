package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/internal/goldentest"
	"harehook.dev/harehook/raftlog"
	"harehook.dev/harehook/records"
)

// goldenDisk is a member's disk folder written by commit 3968cf4.
const goldenDisk = "testdata/disk"

// goldenCommands returns commands of all kinds, with records of all kinds.
func goldenCommands() []Command {
	text := `agreed {
  service "pay" { zones "north" "south"; }
  route "quote" service="pay" { prefix "/quote"; limit-ms 2000; most 0.5; }
  route "issue" { prefix "/issue"; limit-ms 1500.5; mutating; }
  tenant "till" service="pay" share=0.25
  override "n-1" state="draining" service="pay" zone="north"
}
`
	route := recordWrite(records.KindRoute, "refund", 0, records.RouteSpec{Prefix: "/refund", TimeLimitMS: 900, Mutating: true})
	service := recordWrite(records.KindService, "refunds", 0, records.ServiceSpec{Zones: []string{"south"}})
	tenant := recordWrite(records.KindTenant, "kiosk", 0, records.TenantSpec{Service: "refunds", Share: 0.5})
	override := recordWrite(records.KindOverride, "n-2", 0, records.OverrideSpec{State: records.StateGone})
	removal := records.Write{Key: records.Key{Kind: records.KindRoute, Name: "quote"}, AnyRevision: true}
	return []Command{
		{Kind: CommandRegister, Client: "member-1", Seq: 1, Member: 1, Identity: "disk-1"},
		{Kind: CommandSetAddress, Client: "member-1", Seq: 2, Member: 1, Text: "127.0.0.1:18011"},
		{Kind: CommandPut, Client: "operator", Seq: 1, Text: text, By: "ann", Why: "first", At: 1700000000},
		{Kind: CommandRecords, Client: "operator", Seq: 2, Writes: []records.Write{service, route, tenant, override}, By: "ann", Why: "refunds", At: 1700000100},
		{Kind: CommandRecords, Client: "operator", Seq: 3, Writes: []records.Write{removal}, By: "bo", Why: "no quotes", At: 1700000200},
		{Kind: CommandRollBack, Client: "operator", Seq: 4, Base: 5, To: 4, By: "bo", Why: "quotes again", At: 1700000300},
		{Kind: CommandSetFormat, Client: "format-1", Seq: 1},
		{Kind: CommandPut, Client: "operator", Seq: 5, Base: 3, Text: text, By: "ann", Why: "from an old reading", At: 1700000400}, // rejected
	}
}

// writeGoldenDisk writes a disk with a snapshot after the fourth command and the entries that follow it.
func writeGoldenDisk(t *testing.T) {
	t.Helper()
	const snapshotIndex, term = 4, 2
	folder := t.TempDir()
	disk, _, err := raftlog.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	state := NewState(config.TextFormat{})
	var batch raftlog.Batch
	for i, command := range goldenCommands() {
		index := uint64(i + 1)
		data, err := json.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		if index > snapshotIndex {
			batch.Entries = append(batch.Entries, &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: data})
			continue
		}
		state.Apply(index, term, data)
	}
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	batch.Snapshot = &raftpb.Snapshot{Data: snapshot, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(snapshotIndex), Term: proto.Uint64(term),
		ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}}}
	batch.HardState = &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(3), Commit: proto.Uint64(uint64(len(goldenCommands())))}
	if err := disk.Save(batch); err != nil {
		t.Fatal(err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	copyFolder(t, folder, goldenDisk)
}

func copyFolder(t *testing.T, from, to string) {
	t.Helper()
	if err := os.RemoveAll(to); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(to, 0o755); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(from)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(filepath.Join(from, file.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(to, file.Name()), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestGoldenDisk reads the vote, snapshot and entries of a disk written by an earlier release. The resulting state must
// be the same as in that release.
func TestGoldenDisk(t *testing.T) {
	if goldentest.Update() {
		writeGoldenDisk(t)
	}
	folder := filepath.Join(t.TempDir(), "disk")
	copyFolder(t, goldenDisk, folder)
	disk, saved, err := raftlog.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	var out strings.Builder
	fmt.Fprintf(&out, "identity of %d characters\nterm %d, vote %d, commit %d\n", len(saved.Identity), saved.HardState.GetTerm(), saved.HardState.GetVote(), saved.HardState.GetCommit())
	meta := saved.Snapshot.GetMetadata()
	fmt.Fprintf(&out, "snapshot of %d, term %d, voters %v, learners %v\n", meta.GetIndex(), meta.GetTerm(), meta.GetConfState().GetVoters(), meta.GetConfState().GetLearners())
	state := NewState(config.TextFormat{})
	if err := state.Restore(saved.Snapshot.GetData()); err != nil {
		t.Fatal(err)
	}
	if restoredData, err := state.Snapshot(); err != nil || string(restoredData) != string(saved.Snapshot.GetData()) {
		t.Errorf("the snapshot of the restored state differs from the restored snapshot, error %v", err)
	}
	for _, entry := range saved.Entries {
		command, result := state.Apply(entry.GetIndex(), entry.GetTerm(), entry.GetData())
		fmt.Fprintf(&out, "entry %d: %s, version %d, %q\n", entry.GetIndex(), command.Kind, result.Version, result.Rejected)
	}
	fmt.Fprintf(&out, "identities %v, addresses %v\n%s\n", state.Identities, state.Addresses, state.Current().Text)
	for _, version := range state.Versions {
		fmt.Fprintf(&out, "version %d, term %d, by %s: %s, at %d\n", version.Number, version.Term, version.By, version.Why, version.At)
	}
	goldentest.Compare(t, "disk.txt", out.String())
}

// TestGoldenMessages compares the JSON bodies of the gRPC calls with those of an earlier release.
func TestGoldenMessages(t *testing.T) {
	goldentest.CompareJSON(t, "messages.json",
		&Command{}, &Result{}, &Version{}, &ReadRequest{}, &ReadResponse{}, &RecordsRequest{}, &RecordsResponse{}, &MembershipChange{}, &MembershipRequest{},
		&Status{}, &StatusReport{}, &session{})
}

// TestGoldenTransport compares the names of the gRPC calls and metadata, and the encoding of a Raft message, with those
// of an earlier release.
func TestGoldenTransport(t *testing.T) {
	var out strings.Builder
	fmt.Fprintln(&out, methodPrefix, senderIdentityKey, receiverIdentityKey)
	for _, method := range service.Methods {
		fmt.Fprintln(&out, service.ServiceName, method.MethodName)
	}
	message := &raftpb.Message{Type: raftpb.MsgApp.Enum(), To: proto.Uint64(2), From: proto.Uint64(1), Term: proto.Uint64(3),
		Entries: []*raftpb.Entry{{Index: proto.Uint64(7), Term: proto.Uint64(3), Data: []byte(`{"kind":"format","client":"format-1","seq":1}`)}}}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "%x\n", data)
	var decoded raftpb.Message
	if err := proto.Unmarshal(data, &decoded); err != nil || !proto.Equal(message, &decoded) {
		t.Errorf("got decoded message %s, error %v, want the original message", protojson.Format(&decoded), err)
	}
	goldentest.Compare(t, "transport.txt", out.String())
}
