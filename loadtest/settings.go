package loadtest

import "slices"

// Setting is a figure of a plan that flags and experiment files name.
type Setting struct {
	Name, Usage string
	Get         func(p *Plan) float64
	Set         func(p *Plan, value float64)
}

func intSetting(name, usage string, field func(p *Plan) *int) Setting {
	return Setting{
		Name:  name,
		Usage: usage,
		Get:   func(p *Plan) float64 { return float64(*field(p)) },
		Set:   func(p *Plan, value float64) { *field(p) = int(value) },
	}
}

func floatSetting(name, usage string, field func(p *Plan) *float64) Setting {
	return Setting{
		Name:  name,
		Usage: usage,
		Get:   func(p *Plan) float64 { return *field(p) },
		Set:   func(p *Plan, value float64) { *field(p) = value },
	}
}

// Settings are all figures of a plan. Names and texts have the words of the first release.
var Settings = []Setting{
	intSetting("conductors", "conductors that follow the group", func(p *Plan) *int { return &p.Controllers }),
	intSetting("nodes", "nodes that overrides name", func(p *Plan) *int { return &p.Nodes }),
	intSetting("services", "services", func(p *Plan) *int { return &p.Services }),
	intSetting("routes", "routes, spread over the services", func(p *Plan) *int { return &p.Routes }),
	intSetting("tenants", "tenants, spread over the services with a heavy tail", func(p *Plan) *int { return &p.Tenants }),
	intSetting("regions", "regions", func(p *Plan) *int { return &p.Regions }),
	intSetting("zones", "zones, spread over the regions", func(p *Plan) *int { return &p.Zones }),
	intSetting("members", "members of the group", func(p *Plan) *int { return &p.Members }),
	floatSetting("changes", "changes of one record a second", func(p *Plan) *float64 { return &p.Changes }),
	intSetting("seconds", "how long changes are played", func(p *Plan) *int { return &p.Seconds }),
	{
		Name:  "seed",
		Usage: "what configuration, changes and faults are drawn from",
		Get:   func(p *Plan) float64 { return float64(p.Seed) },
		Set:   func(p *Plan, value float64) { p.Seed = uint64(value) },
	},
	floatSetting("bound-in-force-s", "bound: seconds from a change's answer until it is in force, the worst",
		func(p *Plan) *float64 { return &p.Bounds.ConvergenceS }),
	floatSetting("bound-bytes-beside", "bound: bytes to an interested conductor beside the record",
		func(p *Plan) *float64 { return &p.Bounds.OverheadBytes }),
	floatSetting("bound-restart-nine-s", "bound: seconds until nine in ten restarted conductors are in step",
		func(p *Plan) *float64 { return &p.Bounds.RestartP90S }),
	floatSetting("bound-restart-all-s", "bound: seconds until all restarted conductors are in step",
		func(p *Plan) *float64 { return &p.Bounds.RestartAllS }),
	floatSetting("bound-conductor-cpu", "bound: part of a core of the conductor in its own process",
		func(p *Plan) *float64 { return &p.Bounds.ControllerCPU }),
	floatSetting("bound-conductor-mb", "bound: resident megabytes of that conductor",
		func(p *Plan) *float64 { return &p.Bounds.ControllerMB }),
	floatSetting("bound-conductor-kbs", "bound: kilobytes a second of that conductor, in and out",
		func(p *Plan) *float64 { return &p.Bounds.ControllerKBS }),
}

// findSetting finds a figure by its name.
func findSetting(name string) (setting Setting, found bool) {
	index := slices.IndexFunc(Settings, func(s Setting) bool { return s.Name == name })
	if index < 0 {
		return Setting{}, false
	}
	return Settings[index], true
}
