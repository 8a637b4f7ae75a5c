package loadtest

import "slices"

// Setting is a figure of a plan that flags and experiment files can set by name.
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

// Settings lists all figures of a plan. Names are those of the first release.
var Settings = []Setting{
	intSetting("conductors", "number of controllers that follow the group", func(p *Plan) *int { return &p.Controllers }),
	intSetting("nodes", "number of nodes that overrides refer to", func(p *Plan) *int { return &p.Nodes }),
	intSetting("services", "number of services", func(p *Plan) *int { return &p.Services }),
	intSetting("routes", "number of routes, distributed evenly over the services", func(p *Plan) *int { return &p.Routes }),
	intSetting("tenants", "number of tenants, distributed over the services with a heavy tail", func(p *Plan) *int { return &p.Tenants }),
	intSetting("regions", "number of regions", func(p *Plan) *int { return &p.Regions }),
	intSetting("zones", "number of zones, distributed evenly over the regions", func(p *Plan) *int { return &p.Zones }),
	intSetting("members", "number of members of the group", func(p *Plan) *int { return &p.Members }),
	floatSetting("changes", "changes per second, each of one record", func(p *Plan) *float64 { return &p.Changes }),
	intSetting("seconds", "seconds for which changes are made", func(p *Plan) *int { return &p.Seconds }),
	{
		Name:  "seed",
		Usage: "seed of the configuration, the changes and the faults",
		Get:   func(p *Plan) float64 { return float64(p.Seed) },
		Set:   func(p *Plan, value float64) { p.Seed = uint64(value) },
	},
	floatSetting("bound-in-force-s", "bound: maximum convergence time of a change in seconds",
		func(p *Plan) *float64 { return &p.Bounds.ConvergenceS }),
	floatSetting("bound-bytes-beside", "bound: bytes of overhead per changed record sent to an interested controller",
		func(p *Plan) *float64 { return &p.Bounds.OverheadBytes }),
	floatSetting("bound-restart-nine-s", "bound: seconds until 90% of the restarted controllers are in step",
		func(p *Plan) *float64 { return &p.Bounds.RestartP90S }),
	floatSetting("bound-restart-all-s", "bound: seconds until all restarted controllers are in step",
		func(p *Plan) *float64 { return &p.Bounds.RestartAllS }),
	floatSetting("bound-conductor-cpu", "bound: fraction of a CPU core used by the controller in its own process",
		func(p *Plan) *float64 { return &p.Bounds.ControllerCPU }),
	floatSetting("bound-conductor-mb", "bound: resident megabytes of that controller",
		func(p *Plan) *float64 { return &p.Bounds.ControllerMB }),
	floatSetting("bound-conductor-kbs", "bound: kilobytes per second of that controller, received and sent",
		func(p *Plan) *float64 { return &p.Bounds.ControllerKBS }),
}

// findSetting returns the setting with a name.
func findSetting(name string) (setting Setting, found bool) {
	index := slices.IndexFunc(Settings, func(s Setting) bool { return s.Name == name })
	if index < 0 {
		return Setting{}, false
	}
	return Settings[index], true
}
