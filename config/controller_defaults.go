package config

import (
	"time"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
)

// Values of what a controller's configuration does not state.
const (
	defaultEventInterval           = 4 * time.Millisecond // between two iterations of the event loop at least
	defaultReportInterval          = 500 * time.Millisecond
	defaultConnectTimeout          = 250 * time.Millisecond
	defaultSlowStartSeconds        = 16.0
	defaultOverloadMultiple        = 4.0
	defaultSubscribeTimeoutSeconds = 10.0
	defaultMaxSidecars             = 1024
	defaultMachineType             = "node"
	// Streams share no channel, so the flow control is only a guard.
	defaultEntriesPerSecond       = 100000.0
	defaultMaxInFlightEntries     = 400000.0
	defaultMessageOverheadEntries = 1.0
	defaultMessageWindowSeconds   = 10.0
	// inFlightLevelSets is how often the admission levels of all routes for all sidecars fit in flight where no flow
	// control is stated. The planner fills four fifths of it at most and sends a subset all its levels or none.
	inFlightLevelSets = 1.5
)

// unsetIndex says that load reports have neither utilization nor queue length.
const unsetIndex = -1

// defaultController returns the configuration of a controller that states nothing.
func defaultController() *Controller {
	return &Controller{
		MaxSidecars:    defaultMaxSidecars,
		ConnectTimeout: defaultConnectTimeout,
		ReportInterval: defaultReportInterval,
		Zones:          map[string]bool{},
		MachineTypes:   map[string]bool{},
		Deployment: settings.Deployment{
			EventInterval: defaultEventInterval.Seconds(),
			Planner: planner.Config{
				Controllers:        1,
				UtilizationIndex:   unsetIndex,
				QueueLengthIndex:   unsetIndex,
				Admission:          planner.AdmissionFraction,
				EntriesPerSecond:   defaultEntriesPerSecond,
				MaxInFlightEntries: defaultMaxInFlightEntries,
				MessageOverhead:    defaultMessageOverheadEntries,
				MessageWindow:      defaultMessageWindowSeconds,
				SlowStartWindow:    defaultSlowStartSeconds,
				OverloadMultiple:   defaultOverloadMultiple,
				SubscribeTimeout:   defaultSubscribeTimeoutSeconds,
			},
		},
	}
}

// derivePlannerConfig sets what the planner's configuration repeats of the controller's.
func (c *Controller) derivePlannerConfig() {
	plannerConfig := &c.Deployment.Planner
	plannerConfig.Seed = c.Seed
	plannerConfig.Zones = len(c.Deployment.Zones)
	plannerConfig.MachineTypes = len(c.Deployment.MachineTypes)
	plannerConfig.Proxies = c.MaxSidecars
	plannerConfig.ReportInterval = c.ReportInterval.Seconds()
	if !c.flowControlStated {
		widenFlowControl(plannerConfig)
	}
}
