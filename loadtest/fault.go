package loadtest

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is something that is done to the fleet while changes are played.
type Fault string

// The faults, by the names that operators give them.
const (
	FaultMemberKilled Fault = "member-killed" // a member is killed and started again, then the leader
	FaultReconnect    Fault = "reconnect"     // one controller in ten loses its connection
	FaultRegionCut    Fault = "region-cut"    // the controllers of one region are cut off for a while
	FaultRejecting    Fault = "refusing"      // some controllers refuse some changes
	FaultAllRestarted Fault = "all-restarted" // all controllers are restarted within a minute, holding nothing
)

// AllFaults lists the faults in the order in which they are played.
var AllFaults = []Fault{FaultReconnect, FaultMemberKilled, FaultRejecting, FaultRegionCut, FaultAllRestarted}

// ParseFaults reads names separated by commas.
func ParseFaults(text string) (faults []Fault, err error) {
	for name := range strings.SplitSeq(text, ",") {
		fault := Fault(strings.TrimSpace(name))
		if fault == "" {
			continue
		}
		if !slices.Contains(AllFaults, fault) {
			return nil, fmt.Errorf("fault %q is not known: there are %v", fault, AllFaults)
		}
		if !slices.Contains(faults, fault) {
			faults = append(faults, fault)
		}
	}
	return faults, nil
}
