package loadtest

import "testing"

func TestInvalidPlansAreRejected(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(p *Plan){
		"no controller":            func(p *Plan) { p.Controllers = 0 },
		"no member":                func(p *Plan) { p.Members = 0 },
		"too many members":         func(p *Plan) { p.Members = maxMembers + 1 },
		"no route":                 func(p *Plan) { p.Routes = 0 },
		"too many records":         func(p *Plan) { p.Tenants = maxRecords },
		"fewer zones than regions": func(p *Plan) { p.Zones = p.Regions - 1 },
		"no changes":               func(p *Plan) { p.Changes = 0 },
		"no time":                  func(p *Plan) { p.Seconds = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			plan := OperatorsPlan()
			change(&plan)
			if plan.Validate() == nil {
				t.Errorf("plan %+v is accepted, want an error", plan)
			}
		})
	}
	if err := OperatorsPlan().Validate(); err != nil {
		t.Errorf("the operators' plan is rejected: %v", err)
	}
	if _, err := ParseFaults("reconnect,fire"); err == nil {
		t.Error("the unknown fault \"fire\" is accepted, want an error")
	}
}
