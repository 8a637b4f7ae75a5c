package cluster

import (
	"fmt"
	"strings"
	"testing"

	"harehook.dev/harehook/records"
)

// After a transaction is committed, Records must contain it and OnCommit must have been called with it. CheckProposal
// must not receive tenants, and a proposal that it rejects must not be committed.
func TestNodeReportsCommittedRecords(t *testing.T) {
	committed := make(chan records.Change, 10)
	n := newLeaderWith(t, func(n *Node) {
		n.OnCommit = func(c records.Change) { committed <- c }
		n.CheckProposal = func(proposed []*records.Record) error {
			for _, record := range proposed {
				if record.Kind == records.KindTenant {
					return fmt.Errorf("CheckProposal got a tenant")
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
	result, err := n.handlePropose(t.Context(), recordsCommand("a", pay, tenant))
	if err != nil || result.Rejected != "" {
		t.Fatalf("got result %+v, error %v, want neither a rejection nor an error", result, err)
	}
	if change := <-committed; change.Revision != result.Version || len(change.Updates) != 2 || change.Reset {
		t.Errorf("got change %+v, want 2 updates at revision %d and no reset", change, result.Version)
	}
	if view := source.InScope(records.Scope{Services: []string{"pay"}}); len(view.Records) != 2 || view.Revision != result.Version {
		t.Errorf("got %d records at revision %d, want 2 at %d", len(view.Records), view.Revision, result.Version)
	}
	if _, err := n.handlePropose(t.Context(), recordsCommand("b", recordWrite(records.KindService, "unwanted", 0, records.ServiceSpec{}))); err == nil || !strings.Contains(err.Error(), "it does not fit") {
		t.Errorf("proposal of an unwanted service: got error %v, want one that contains %q", err, "it does not fit")
	}
	if _, err := n.handlePropose(t.Context(), Command{Kind: CommandRegister, Client: "c", Seq: 1}); err == nil {
		t.Error("operator's CommandRegister: got no error, want one")
	}
	response, err := n.handleRecords(t.Context(), RecordsRequest{Service: "pay", Kind: records.KindTenant})
	if err != nil || len(response.Records) != 1 || response.Records[0].Key != tenant.Key || response.Records[0].Revision != result.Version {
		t.Errorf("got response %+v, error %v, want the tenant at revision %d", response, err, result.Version)
	}
	if len(committed) != 0 || source.Revision() != result.Version {
		t.Errorf("got %d more changes and revision %d, want 0 and %d", len(committed), source.Revision(), result.Version)
	}
}
