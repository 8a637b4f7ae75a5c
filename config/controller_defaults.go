package config

import (
	"time"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
)

// Defaults for settings that a controller's configuration does not state.
const (
	defaultEventInterval           = 4 * time.Millisecond // minimum time between two iterations of the event loop
	defaultReportInterval          = 500 * time.Millisecond
	defaultConnectTimeout          = 250 * time.Millisecond
	defaultSlowStartSeconds        = 16.0
	defaultOverloadMultiple        = 4.0
	defaultSubscribeTimeoutSeconds = 10.0
	defaultMaxSidecars             = 1024
	defaultMachineType             = "node"
	// Each sidecar has its own stream and no capacity is shared, so these flow control values are only a safeguard.
	defaultEntriesPerSecond       = 100000.0
	defaultMaxInFlightEntries     = 400000.0
	defaultMessageOverheadEntries = 1.0
	defaultMessageWindowSeconds   = 10.0
	// inFlightLevelSets states how many times the admission levels of all routes at all sidecars fit in flight if the
	// configuration states no flow control. It exceeds 1 because the planner fills at most four fifths of the entries
	// in flight, and sends a subset either all of its levels or none.
	inFlightLevelSets = 1.5
)

// unsetIndex means that load reports contain neither the utilization nor the queue length.
const unsetIndex = -1

// defaultController returns the defaults of a controller's configuration.
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

// derivePlannerConfig sets the planner settings that are determined by the controller's settings.
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
