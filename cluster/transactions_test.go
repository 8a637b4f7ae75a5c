package cluster

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"harehook.dev/harehook/records"
)

func recordWrite(kind records.Kind, name string, expectedRevision uint64, spec any) records.Write {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return records.Write{Key: records.Key{Kind: kind, Name: name}, Body: body, ExpectedRevision: expectedRevision}
}

func recordsCommand(client string, writes ...records.Write) Command {
	return Command{Kind: CommandRecords, Client: client, Seq: 1, Writes: writes, By: "operator", Why: "why"}
}

// Transactions and full texts may alternate: a conflict is rejected with its record and revision, a transaction adds a
// version, and a rollback reverses it. OnCommit reports each change, and a restored snapshot as a reset.
func TestTransactionsAlternateWithFullTexts(t *testing.T) {
	script := newCommandScript(t)
	var changes []records.Change
	script.state.OnCommit = func(c records.Change) { changes = append(changes, c) }
	expectRejection := func(c Command, want string) { // want is empty if the command must be executed
		t.Helper()
		if r := script.apply(c); want == "" && r.Rejected != "" || !strings.Contains(r.Rejected, want) {
			t.Errorf("command %s %d: got rejection %q, want %q", c.Client, c.Seq, r.Rejected, want)
		}
	}
	expectRejection(putCommand("a", 1, 0, "one"), "") // version 11
	pay := recordWrite(records.KindService, "pay", 0, records.ServiceSpec{})
	tenant := recordWrite(records.KindTenant, "x", 0, records.TenantSpec{Service: "pay", Share: 0.5})
	expectRejection(recordsCommand("b", pay, tenant), "")                                                                                  // 12
	expectRejection(recordsCommand("c", pay), "changed since it was read: service/pay exists with revision 12")                            // 13
	expectRejection(recordsCommand("d", recordWrite(records.KindTenant, "x", 12, records.TenantSpec{Service: "pay", Share: 1})), "")       // 14
	expectRejection(recordsCommand("e", recordWrite(records.KindTenant, "x", 12, records.TenantSpec{Service: "pay", Share: 1})), "has re") // 15
	expectRejection(recordsCommand("f"), "at least one record")
	expectRejection(putCommand("g", 1, 14, "two"), "") // 17: contains no service or tenant, so these are kept
	if current := script.state.Store().Get(tenant.Key); current == nil || current.Revision != 14 {
		t.Errorf("after a text with only routes: got tenant %+v, want one with revision 14", current)
	}
	if v := script.state.Current(); v.Text != "two" || v.Number != 17 {
		t.Errorf("got version %+v, want number 17, text %q", v, "two")
	}
	expectRejection(Command{Kind: CommandRollBack, Client: "h", Seq: 1, Base: 17, To: 12}, "") // 18
	if spec, err := script.state.Store().Get(tenant.Key).Tenant(); err != nil || spec.Share != 0.5 || script.state.Current().Text != "one" {
		t.Errorf("after the rollback: got tenant %+v, error %v, text %q, want share 0.5, no error, text %q", spec, err, script.state.Current().Text, "one")
	}
	expectRejection(Command{Kind: CommandRollBack, Client: "i", Seq: 1, Base: 18, To: 18}, "")
	var notified []string
	for _, change := range changes {
		notified = append(notified, fmt.Sprint(change.Revision, ":", len(change.Updates)))
	}
	if got, want := strings.Join(notified, " "), "11:1 12:2 14:1 17:1 18:2 19:0"; got != want {
		t.Errorf("got changes %q, want %q", got, want)
	}
	snapshot, err := script.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	store := script.state.Store()
	if err := script.state.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if last := changes[len(changes)-1]; !last.Reset || last.Revision != 19 || script.state.Store() != store {
		t.Errorf("after a restored snapshot: got change %+v, store replaced %v, want a reset at revision 19, false", last, script.state.Store() != store)
	}
}

// A rollback must be rejected and change nothing if the changes since the version are no longer retained.
func TestRollBackWithoutRetainedChangesIsRejected(t *testing.T) {
	script := newCommandScript(t)
	script.apply(putCommand("a", 1, 0, "one"))
	script.apply(putCommand("b", 1, 11, "two"))
	script.state.Store().DropHistory()
	if r := script.apply(Command{Kind: CommandRollBack, Client: "c", Seq: 1, Base: 12, To: 11}); r.Rejected != "the changes since version 11 are not kept" || r.Version != 12 {
		t.Errorf("got result %+v, want version 12, rejection %q", r, "the changes since version 11 are not kept")
	}
}
