package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"harehook.dev/harehook/records"
)

// commandScript applies commands in sequence and collects their results.
type commandScript struct {
	t       *testing.T
	state   *State
	index   uint64
	results []string
}

func newCommandScript(t *testing.T) *commandScript {
	return &commandScript{t: t, index: 10, state: NewState(plainText{})}
}

// plainText is a TextFormat in which a text is the prefix of a single route. A text that contains "bad" is invalid.
type plainText struct{}

func (plainText) Parse(text string) ([]*records.Record, error) {
	if strings.Contains(text, "bad") {
		return nil, errors.New("it is bad")
	}
	record, err := records.New(records.Key{Kind: records.KindRoute, Name: "text"}, records.RouteSpec{Prefix: "/" + text, TimeLimitMS: 1})
	return []*records.Record{record}, err
}

func (plainText) Format(list []*records.Record) (text string) {
	for _, record := range list {
		if spec, err := record.Route(); err == nil && record.Name == "text" {
			text = strings.TrimPrefix(spec.Prefix, "/")
		}
	}
	return text
}

func (script *commandScript) apply(c Command) Result {
	data, err := json.Marshal(c)
	if err != nil {
		script.t.Fatal(err)
	}
	script.index++
	_, r := script.state.Apply(script.index, 3, data)
	script.results = append(script.results, fmt.Sprint(r.Version, " ", r.Rejected))
	return r
}

func putCommand(client string, seq, base uint64, text string) Command {
	return Command{Kind: CommandPut, Client: client, Seq: seq, Base: base, Text: text}
}

func TestApplyResults(t *testing.T) {
	script := newCommandScript(t)
	script.apply(putCommand("a", 1, 0, "one"))
	script.apply(putCommand("b", 1, 0, "other")) // stale base: its client has not read version 11
	script.apply(putCommand("a", 1, 0, "one"))   // repeated, as if the result was lost
	script.apply(putCommand("a", 2, 11, "bad"))
	script.apply(putCommand("a", 3, 11, "two"))
	script.apply(putCommand("a", 2, 11, "late"))
	script.apply(Command{Kind: CommandRollBack, Client: "a", Seq: 4, Base: 15, To: 11})
	script.apply(Command{Kind: CommandRollBack, Client: "a", Seq: 5, Base: 17, To: 99})
	script.apply(Command{Kind: CommandRegister, Client: "m", Seq: 1, Member: 2, Identity: "x"})
	script.apply(Command{Kind: CommandRegister, Client: "n", Seq: 1, Member: 2, Identity: "y"})
	script.apply(Command{Kind: "dance", Client: "a", Seq: 6})
	script.apply(putCommand("", 1, 17, "nobody's"))
	script.apply(putCommand("a", 7, 17, strings.Repeat("x", maxTextBytes+1)))
	_, r := script.state.Apply(99, 3, []byte("{"))
	script.results = append(script.results, fmt.Sprint(r.Version, " ", r.Rejected))
	if diff := cmp.Diff([]string{
		"11 ", "11 it changes version 0, and version 11 is in force: look at what came between", "11 ", "11 it is bad", "15 ",
		"15 a later proposal of this client came first", "17 ", "17 version 99 is not kept", "17 ",
		"17 member 2 is known by another disk: remove it and add it under a new number", "17 a command \"dance\" is not known",
		"17 a name is missing or over 200 bytes", "17 a text of 262145 bytes, 262144 at most", "17 it can't be read",
	}, script.results); diff != "" {
		t.Error(diff)
	}
	if v := script.state.Current(); v.Text != "one" || v.Number != 17 || v.Term != 3 {
		t.Errorf("got version %+v, want number 17, term 3, text %q", v, "one")
	}
}

// A state restored from a snapshot must compute the same results as the original state. The script exceeds the limits
// on versions and clients, so the oldest of them are dropped before the snapshot.
func TestRestoredStateMatchesOriginal(t *testing.T) {
	script := newCommandScript(t)
	for n := range uint64(maxClients + maxVersions + 5) {
		script.apply(putCommand(fmt.Sprint("client-", n), 1, script.state.Current().Number, fmt.Sprint("text ", n)))
	}
	if len(script.state.Versions) != maxVersions || len(script.state.sessions.byClient) != maxClients {
		t.Errorf("got %d versions and %d clients, want %d and %d", len(script.state.Versions), len(script.state.sessions.byClient), maxVersions, maxClients)
	}
	data, err := script.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newCommandScript(t)
	if err := restored.state.Restore(data); err != nil {
		t.Fatal(err)
	}
	restoredData, _ := restored.state.Snapshot()
	if string(restoredData) != string(data) {
		t.Error("the snapshot of the restored state differs from the original snapshot")
	}
	restored.index = script.index
	for i, c := range []Command{putCommand("x", 1, 0, "late"), putCommand("client-1000", 1, 5, "again"), putCommand("x", 2, script.state.Current().Number, "next")} {
		if a, b := script.apply(c), restored.apply(c); a != b {
			t.Errorf("command %d: got %+v from the restored state, want %+v", i, b, a)
		}
	}
	if err := restored.state.Restore([]byte("{")); err == nil || restored.state.Current().Text != "next" {
		t.Errorf("restore of invalid JSON: got error %v and text %q, want an error and %q", err, restored.state.Current().Text, "next")
	}
}
