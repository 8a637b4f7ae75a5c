package cluster

import (
	"fmt"
	"strings"
	"testing"

	"harehook.dev/harehook/records"
)

// TestNodeReportsCommittedRecords has a node agree on a transaction: Records has it, OnCommit was called with it, and a
// proposal that CheckProposal rejects is not made.
func TestNodeReportsCommittedRecords(t *testing.T) {
	committed := make(chan records.Change, 10)
	n := newLeaderWith(t, func(n *Node) {
		n.OnCommit = func(c records.Change) { committed <- c }
		n.CheckProposal = func(proposed []*records.Record) error {
			for _, record := range proposed {
				if record.Kind == records.KindTenant {
					return fmt.Errorf("a tenant is checked")
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
	r, err := n.handlePropose(t.Context(), recordsCommand("a", pay, tenant))
	if err != nil || r.Rejected != "" {
		t.Fatalf("%+v, %v", r, err)
	}
	if change := <-committed; change.Revision != r.Version || len(change.Updates) != 2 || change.Reset {
		t.Errorf("%+v", change)
	}
	if view := source.InScope(records.Scope{Services: []string{"pay"}}); len(view.Records) != 2 || view.Revision != r.Version {
		t.Errorf("%d records as of %d", len(view.Records), view.Revision)
	}
	if _, err := n.handlePropose(t.Context(), recordsCommand("b", recordWrite(records.KindService, "unwanted", 0, records.ServiceSpec{}))); err == nil || !strings.Contains(err.Error(), "it does not fit") {
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
