package cluster

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"harehook.dev/harehook/raftlog"
	"harehook.dev/harehook/records"
)

// newScriptWithTwoVersions returns a script whose state has versions 11 and 12.
func newScriptWithTwoVersions(t *testing.T) *commandScript {
	t.Helper()
	script := newCommandScript(t)
	script.apply(putCommand("a", 1, 0, "one"))
	script.apply(putCommand("a", 2, 11, "two"))
	return script
}

// Each reason for a rejection must have its own error type and carry its values, so that callers can distinguish them
// with errors.As.
func TestRejectionErrorTypes(t *testing.T) {
	longText := strings.Repeat("x", maxTextBytes+1)
	longName := strings.Repeat("x", maxNameBytes+1)
	longReason := strings.Repeat("x", maxReasonBytes+1)
	register := Command{Kind: CommandRegister, Client: "m", Seq: 1, Member: 2, Identity: "first disk"}
	cases := map[string]struct {
		command Command
		want    error
	}{
		"no client":            {putCommand("", 1, 12, "three"), &NameSizeError{Field: "Client", LimitBytes: maxNameBytes}},
		"long client":          {putCommand(longName, 1, 12, "three"), &NameSizeError{Field: "Client", Bytes: maxNameBytes + 1, LimitBytes: maxNameBytes}},
		"long operator":        {Command{Kind: CommandPut, Client: "b", By: longName}, &NameSizeError{Field: "By", Bytes: maxNameBytes + 1, LimitBytes: maxNameBytes}},
		"long reason":          {Command{Kind: CommandPut, Client: "b", Why: longReason}, &NameSizeError{Field: "Why", Bytes: maxReasonBytes + 1, LimitBytes: maxReasonBytes}},
		"long identity":        {Command{Kind: CommandRegister, Client: "b", Identity: longName}, &NameSizeError{Field: "Identity", Bytes: maxNameBytes + 1, LimitBytes: maxNameBytes}},
		"long text":            {putCommand("b", 1, 12, longText), &TextSizeError{Bytes: maxTextBytes + 1, LimitBytes: maxTextBytes}},
		"unknown kind":         {Command{Kind: "dance", Client: "b", Seq: 1}, &UnknownCommandError{Kind: "dance"}},
		"stale base":           {putCommand("b", 1, 11, "three"), &StaleBaseError{Base: 11, InEffect: 12}},
		"version not retained": {Command{Kind: CommandRollBack, Client: "b", Seq: 1, Base: 12, To: 9}, &VersionNotRetainedError{Version: 9}},
		"changes not retained": {Command{Kind: CommandRollBack, Client: "b", Seq: 1, Base: 12, To: 11}, &ChangesNotRetainedError{Version: 11}},
		"another disk":         {Command{Kind: CommandRegister, Client: "n", Seq: 1, Member: 2, Identity: "second disk"}, &DiskMismatchError{Member: 2}},
		"no address":           {Command{Kind: CommandSetAddress, Client: "b", Seq: 1, Member: 2}, ErrNoAddress},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			script := newScriptWithTwoVersions(t)
			script.apply(register)
			script.state.Store().DropHistory()
			err := script.state.execute(99, 3, c.command)
			if !reflect.DeepEqual(err, c.want) {
				t.Errorf("got %#v, want %#v", err, c.want)
			}
			if version := script.state.Latest().Number; version != 12 {
				t.Errorf("got version %d in effect, want 12", version)
			}
		})
	}
}

// Results are stored and must be the same at all members, also at members of an earlier release. The text therefore
// must not depend on the field.
func TestNameSizeErrorTextIsIndependentOfField(t *testing.T) {
	const want = "a name is missing or over 200 bytes"
	for _, err := range []*NameSizeError{
		{Field: "Client", LimitBytes: maxNameBytes},
		{Field: "Why", Bytes: maxReasonBytes + 1, LimitBytes: maxReasonBytes},
	} {
		if err.Error() != want {
			t.Errorf("field %s: got %q, want %q", err.Field, err, want)
		}
	}
}

// A rollback to a version that violates the current rules must be rejected with an error that wraps the violated rule.
func TestRollBackErrorWrapsRule(t *testing.T) {
	script := newCommandScript(t)
	script.apply(recordsCommand("a", recordWrite(records.KindService, "pay", 0, records.ServiceSpec{})))
	script.apply(putCommand("b", 1, 11, "one"))
	err := script.state.execute(13, 3, Command{Kind: CommandRollBack, Client: "c", Seq: 1, Base: 12, To: 11})
	var rollBack *RollBackError
	if !errors.As(err, &rollBack) || rollBack.Version != 11 {
		t.Fatalf("got %v, want a RollBackError for version 11", err)
	}
	var ruleError *records.CheckError
	if !errors.As(err, &ruleError) {
		t.Errorf("got %v, want an error that wraps a records.CheckError", err)
	}
}

// A state must reject records before CommandSetFormat, and full texts without a TextFormat.
func TestStateRejectsUnsupportedCommands(t *testing.T) {
	state := NewState(nil)
	state.FullTexts = true
	command := recordsCommand("a", recordWrite(records.KindService, "pay", 0, records.ServiceSpec{}))
	if err := state.execute(1, 1, command); !errors.Is(err, ErrRecordRevisionsDisabled) {
		t.Errorf("records command: got %v, want %v", err, ErrRecordRevisionsDisabled)
	}
	if err := state.execute(2, 1, putCommand("a", 1, 0, "text")); !errors.Is(err, ErrNoTextFormat) {
		t.Errorf("text without a format: got %v, want %v", err, ErrNoTextFormat)
	}
}

// A member that is not the leader must reject the request and name the leader, which is unknown here.
func TestFollowerRejectsLeaderRequests(t *testing.T) {
	member, _, err := Start(1, &raftlog.SavedState{Identity: "disk"}, []uint64{1, 2}, NewState(nil), DefaultTiming, 1)
	if err != nil {
		t.Fatal(err)
	}
	var notLeader *NotLeaderError
	if err := member.ChangeMembers(MembershipChange{Remove: []uint64{2}}); !errors.As(err, &notLeader) || notLeader.Leader != 0 {
		t.Errorf("ChangeMembers: got %v, want a NotLeaderError with leader 0", err)
	}
	if err := member.TransferLeadership(2); !errors.As(err, &notLeader) {
		t.Errorf("TransferLeadership: got %v, want a NotLeaderError", err)
	} else if want := "a leadership transfer must be requested from the leader, which is member 0 (0: unknown)"; err.Error() != want {
		t.Errorf("TransferLeadership: got message %q, want %q", err, want)
	}
	if _, err := member.RequestReadIndex(); !errors.Is(err, ErrNoLeader) {
		t.Errorf("RequestReadIndex: got %v, want %v", err, ErrNoLeader)
	}
}

// Another disk is registered for the member's ID. If the member continued, it might vote twice in one term.
func TestNodeStopsWhenItsDiskWasReplaced(t *testing.T) {
	n, runResult := runningNode(t)
	if err := n.runOnLoop(t.Context(), func() { n.member.Step("other", "another disk", nil) }); err != nil {
		t.Fatal(err)
	}
	var replaced *DiskReplacedError
	select {
	case err := <-runResult:
		if !errors.As(err, &replaced) || replaced.Member != 1 {
			t.Errorf("got %v, want a DiskReplacedError for member 1", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Run did not return within 10 s")
	}
	if err := n.runOnLoop(t.Context(), func() {}); !errors.Is(err, ErrStopped) {
		t.Errorf("request after Run returned: got %v, want %v", err, ErrStopped)
	}
}

// All members must reject an entry that is not JSON with the same result, and a proposal that is older than the
// client's last one.
func TestUnreadableEntryIsRejected(t *testing.T) {
	state := NewState(nil)
	if _, result := state.Apply(1, 1, []byte("{")); result.Rejected != ErrUnreadableCommand.Error() {
		t.Errorf("invalid JSON: got result %+v, want rejection %q", result, ErrUnreadableCommand)
	}
	for _, seq := range []uint64{2, 1} {
		data, err := json.Marshal(Command{Kind: CommandSetFormat, Client: "a", Seq: seq})
		if err != nil {
			t.Fatal(err)
		}
		_, result := state.Apply(2, 1, data)
		if older := result.Rejected == ErrOlderProposal.Error(); older != (seq == 1) {
			t.Errorf("proposal %d: got result %+v, want a rejection as older: %v", seq, result, seq == 1)
		}
	}
}
