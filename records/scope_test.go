package records

import (
	"testing"
)

// TestMovedTenantLeavesOneScopeAndEntersTheOther moves a tenant from one service to another. Both scopes must receive
// the update: the first would otherwise retain the tenant, and the second would never get it.
func TestMovedTenantLeavesOneScopeAndEntersTheOther(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "pay", ServiceSpec{}), write(KindService, "ship", ServiceSpec{}), write(KindTenant, "x", TenantSpec{Service: "pay", Share: 1}))
	before := s.Revision()
	apply(t, s, write(KindTenant, "x", TenantSpec{Service: "ship", Share: 0.5}))
	pay, ship, other := Scope{Services: []string{"pay"}}, Scope{Services: []string{"ship"}}, Scope{Services: []string{"z"}}
	left := s.Since(before, pay).Updates
	entered := s.Since(before, ship).Updates
	if len(left) != 1 || !pay.Contains(left[0].Before) || pay.Contains(left[0].After) {
		t.Errorf("scope that the tenant left: got updates %q, want one that leaves it", describeUpdates(left))
	}
	if len(entered) != 1 || ship.Contains(entered[0].Before) || !ship.Contains(entered[0].After) {
		t.Errorf("scope that the tenant entered: got updates %q, want one that enters it", describeUpdates(entered))
	}
	if unaffected := s.Since(before, other); len(unaffected.Updates) > 0 || unaffected.Revision != 2 || !unaffected.Available {
		t.Errorf("other scope: got updates %q as of revision %d, available %v, want none as of 2, available true", describeUpdates(unaffected.Updates), unaffected.Revision, unaffected.Available)
	}
}
