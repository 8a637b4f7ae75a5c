package loadtest

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is the name of a fault that is injected into the fleet while changes are made.
type Fault string

// The names of the faults in flags and experiment files.
const (
	FaultMemberKilled Fault = "member-killed" // a member other than the leader is killed and restarted, then the leader
	FaultReconnect    Fault = "reconnect"     // one controller in ten loses its connections
	FaultRegionCut    Fault = "region-cut"    // the controllers of one region are disconnected for some time
	FaultRejecting    Fault = "refusing"      // some controllers reject some changes
	FaultAllRestarted Fault = "all-restarted" // all controllers are restarted within a minute, without any records
)

// AllFaults lists the faults in the order in which they are injected.
var AllFaults = []Fault{FaultReconnect, FaultMemberKilled, FaultRejecting, FaultRegionCut, FaultAllRestarted}

// ParseFaults parses a comma-separated list of faults and drops repetitions.
func ParseFaults(text string) (faults []Fault, err error) {
	for name := range strings.SplitSeq(text, ",") {
		fault := Fault(strings.TrimSpace(name))
		if fault == "" {
			continue
		}
		if !slices.Contains(AllFaults, fault) {
			return nil, fmt.Errorf("unknown fault %q, known faults are %v", fault, AllFaults)
		}
		if !slices.Contains(faults, fault) {
			faults = append(faults, fault)
		}
	}
	return faults, nil
}
