package loadtest

import (
	"encoding/json"
	"io"

	"harehook.dev/harehook/configsync"
)

// Report is what a run was asked to do and what it measured. Its names in JSON are those of the first release: "in_force"
// stands for convergence, "hollow" for simulated controllers, "whole" for a full scope, "concerned" for affected.
type Report struct {
	Plan     Plan     `json:"asked"`
	Measured Measured `json:"measured"`
	Broken   []string `json:"broken"` // a line for each bound that broke
}

// Measured is what a run measured.
type Measured struct {
	Separate           bool                      `json:"separate"` // members and controllers were processes of their own
	Records            int                       `json:"records"`
	Changes            int                       `json:"changes"`
	Convergence        DurationSummary           `json:"in_force"`          // from a change's answer until all have accepted it that it was due from
	ConvergenceByFault map[Fault]DurationSummary `json:"in_force_by_phase"` // by the fault that was played
	Followers          map[Fault]DurationSummary `json:"followers"`         // of each follower and change, by the fault that concerned the follower
	Affected           map[Fault]int             `json:"concerned"`         // how often a fault concerned a controller
	Interested         DurationSummary           `json:"interested"`        // of those in whose scope the change was, while no fault concerned them
	Start              DurationSummary           `json:"start"`             // until in step, from each controller's start; all start at once
	Restarted          *DurationSummary          `json:"restarted,omitempty"`
	Messages           Messages                  `json:"messages"`
	SimulatedKBS       float64                   `json:"hollow_kbs"` // of a simulated controller, in and out, on average while no fault was played
	Members            []MemberUsage             `json:"members"`
	SimulatedProcesses []ProcessUsage            `json:"hollow_processes"`
	Controller         *ControllerUsage          `json:"conductor,omitempty"`
	Violations         []Violation               `json:"violations"`
	Notes              []string                  `json:"notes"` // what is measured and what is simulated
}

// Messages are those that controllers got. Their bytes are those of the messages; HTTP/2's framing comes on top.
type Messages struct {
	Change              SizeSummary `json:"change"`   // to controllers in whose scope something changed
	Progress            SizeSummary `json:"progress"` // to all others: the revision alone
	FullScope           SizeSummary `json:"whole"`
	Heartbeats          int64       `json:"heartbeats"`
	RecordOverhead      SizeSummary `json:"beside_record"`  // of a message with changes, for each record in it, without its body
	FullScopeInStep     int64       `json:"whole_in_place"` // full scopes sent to controllers that were in step
	FullScopeAgain      int64       `json:"whole_again"`    // likewise to those that held something, also as they reconnected
	UninterestedRecords int64       `json:"uninterested_records"`
	InterestedPerChange float64     `json:"interested_per_change"` // controllers
}

// ProcessUsage is what a process used while changes were played.
type ProcessUsage struct {
	CPU        float64 `json:"cpu"`         // part of a core, on average
	BusiestCPU float64 `json:"busiest_cpu"` // over the busiest 10 s
	WorstMB    float64 `json:"worst_mb"`    // resident
}

// MemberUsage is what a member used, all its processes together.
type MemberUsage struct {
	ID uint64 `json:"id"`
	ProcessUsage
	Sent configsync.Counts `json:"sent"` // since it was started last
}

// ControllerUsage is what the controller with a process of its own used. No fault concerned it but those of members.
type ControllerUsage struct {
	IsProgram bool `json:"harehookd"` // it is the program; else a client alone
	ProcessUsage
	KBS        float64 `json:"kbs"` // in and out, on average
	BusiestKBS float64 `json:"busiest_kbs"`
	StartCPU   float64 `json:"start_cpu_s"` // seconds of processor time until all controllers were in step
	StartKB    float64 `json:"start_kb"`
	StartS     float64 `json:"start_s,omitempty"` // until a member knew it to be in step; harehook-xds only
}

// WriteJSON writes the report as one object.
func (r *Report) WriteJSON(out io.Writer) error { return writeJSON(out, r) }

// writeJSON writes a value as people read it.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
