package loadtest

import (
	"encoding/json"
	"io"

	"harehook.dev/harehook/configsync"
)

// Report holds the plan and the measurements of a run. Its names in JSON are those of the first release: "in_force"
// means convergence, "hollow" simulated controllers, "whole" a full scope and "concerned" affected.
type Report struct {
	Plan     Plan     `json:"asked"`
	Measured Measured `json:"measured"`
	Broken   []string `json:"broken"` // a line for each broken bound
}

// Measured holds the measurements of a run.
type Measured struct {
	Separate           bool                      `json:"separate"` // members and controllers ran in separate processes
	Records            int                       `json:"records"`
	Changes            int                       `json:"changes"`
	Convergence        DurationSummary           `json:"in_force"`          // from the answer to a proposal until the change has converged
	ConvergenceByFault map[Fault]DurationSummary `json:"in_force_by_phase"` // by the fault that was being injected
	Followers          map[Fault]DurationSummary `json:"followers"`         // of each follower and change, by the fault that affected the follower
	Affected           map[Fault]int             `json:"concerned"`         // number of times that a fault affected a controller
	Interested         DurationSummary           `json:"interested"`        // of followers whose scope the change affected, without a fault
	Start              DurationSummary           `json:"start"`             // from the start of a controller until it is in step; all start together
	Restarted          *DurationSummary          `json:"restarted,omitempty"`
	Messages           Messages                  `json:"messages"`
	SimulatedKBS       float64                   `json:"hollow_kbs"` // received and sent by a simulated controller, mean before the first fault
	Members            []MemberUsage             `json:"members"`
	SimulatedProcesses []ProcessUsage            `json:"hollow_processes"`
	Controller         *ControllerUsage          `json:"conductor,omitempty"`
	Violations         []Violation               `json:"violations"`
	Notes              []string                  `json:"notes"` // which parts were measured and which were simulated
}

// Messages summarizes the messages that controllers received. Sizes are those of the messages without HTTP/2 framing.
type Messages struct {
	Change              SizeSummary `json:"change"`   // to controllers whose scope a change affected
	Progress            SizeSummary `json:"progress"` // to all other controllers: only the revision
	FullScope           SizeSummary `json:"whole"`
	Heartbeats          int64       `json:"heartbeats"`
	RecordOverhead      SizeSummary `json:"beside_record"`  // of messages with changes, per record and without the bodies of records
	FullScopeInStep     int64       `json:"whole_in_place"` // full scopes sent to controllers that were in step
	FullScopeAgain      int64       `json:"whole_again"`    // to controllers that already had records, also after reconnecting
	UninterestedRecords int64       `json:"uninterested_records"`
	InterestedPerChange float64     `json:"interested_per_change"` // mean number of controllers
}

// ProcessUsage is the resource usage of a process while changes were made.
type ProcessUsage struct {
	CPU        float64 `json:"cpu"`         // fraction of a core, mean
	BusiestCPU float64 `json:"busiest_cpu"` // fraction of a core, busiest 10 s
	WorstMB    float64 `json:"worst_mb"`    // resident
}

// MemberUsage is the resource usage of a member, over all its restarts.
type MemberUsage struct {
	ID uint64 `json:"id"`
	ProcessUsage
	Sent configsync.Counts `json:"sent"` // since its last start
}

// ControllerUsage is the resource usage of the controller that has its own process. Only faults of members affect that
// controller.
type ControllerUsage struct {
	IsProgram bool `json:"harehookd"` // the controller is harehook-xds, otherwise only a client
	ProcessUsage
	KBS        float64 `json:"kbs"` // received and sent, mean
	BusiestKBS float64 `json:"busiest_kbs"`
	StartCPU   float64 `json:"start_cpu_s"` // seconds of CPU time until all controllers were in step
	StartKB    float64 `json:"start_kb"`
	StartS     float64 `json:"start_s,omitempty"` // seconds until a member reported it as in step; only for harehook-xds
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(out io.Writer) error { return writeJSON(out, r) }

// writeJSON writes a value as indented JSON.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
