package loadtest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"harehook.dev/harehook/configsync"
)

// Report is what a run was asked to do and what it measured.
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
	FullScopeInStep     int64       `json:"whole_in_place"` // whole scopes sent to controllers that were in step
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

// MemberUsage is what a member used. One that was killed and started again is told as one.
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

const (
	kilobyte        = 1 << 10
	megabyte        = 1 << 20
	maxIncarnations = 1 << 10 // of a controller in a run
)

// report works out what was measured. All workers have ended.
func (r *run) report() (*Report, error) {
	lease := configsync.DefaultLimits.Lease
	rec := r.recorder
	line := newTimings(rec.changes, rec.histories, lease)
	m := Measured{
		Separate: r.separateProcesses, Records: len(r.configuration.bodies), Changes: len(rec.changes),
		Convergence: line.convergence.summary(), ConvergenceByFault: summarizeByFault(line.convergenceByFault), Followers: summarizeByFault(line.followers),
		Affected: line.affected, Interested: line.interested.summary(), Notes: r.notes(),
		Violations: checkHistories(r.model, rec.histories, rec.newestRevision()),
	}
	if r.programViolation != "" {
		m.Violations = append(m.Violations, Violation{r.controllers[measuredController].Name, r.programViolation})
	}
	start := durationsUntilInStep(rec.histories, 1, 1, rec.newestRevisionAt)
	m.Start = start.summary()
	if slices.Contains(r.plan.Faults, FaultAllRestarted) {
		restarted := durationsUntilInStep(rec.histories, 2, maxIncarnations, rec.newestRevisionAt)
		summary := restarted.summary()
		m.Restarted = &summary
	}
	if err := r.reportMessages(&m); err != nil {
		return nil, err
	}
	r.reportUsage(&m)
	return &Report{Plan: r.plan, Measured: m, Broken: m.BrokenBounds(r.plan.Bounds)}, nil
}

func summarizeByFault(all map[Fault]*durationHistogram) map[Fault]DurationSummary {
	summaries := map[Fault]DurationSummary{}
	for fault, one := range all {
		summaries[cmp.Or(fault, "none")] = one.summary()
	}
	return summaries
}

func (r *run) reportMessages(m *Measured) error {
	all := newMessageMeter()
	for _, p := range r.controllerProcesses {
		if p.external {
			continue
		}
		if err := all.add(p.messages); err != nil {
			return err
		}
	}
	m.Messages = Messages{
		Change: summarizeSizes(all.change), Progress: summarizeSizes(all.progress), FullScope: summarizeSizes(all.full),
		RecordOverhead: summarizeSizes(all.overhead), Heartbeats: all.heartbeats, FullScopeInStep: all.fullScopeRepeated, FullScopeAgain: all.fullScopeAgain,
	}
	for _, one := range r.recorder.histories {
		for _, accepted := range one.accepted {
			m.Messages.UninterestedRecords += int64(accepted.outside)
		}
	}
	interested := 0
	for _, one := range r.recorder.changes {
		interested += len(one.interested)
	}
	m.Messages.InterestedPerChange = float64(interested) / float64(max(1, len(r.recorder.changes)))
	return nil
}

func (r *run) reportUsage(m *Measured) {
	bytes, seconds := 0.0, 0.0
	for _, p := range r.controllerProcesses {
		wire := p.wireSamples(r.playStart)
		use := p.usageSince(r.playStart)
		if p.indexes[0] == measuredController {
			m.Controller = &ControllerUsage{
				IsProgram: p.external, ProcessUsage: use, KBS: meanRate(wire) / kilobyte, BusiestKBS: maxRate(wire) / kilobyte,
				StartCPU: p.startCPU, StartKB: p.startWire / kilobyte, StartS: p.startTime.Seconds(),
			}
			continue
		}
		m.SimulatedProcesses = append(m.SimulatedProcesses, use)
		steady := slices.DeleteFunc(wire, func(s sample) bool { return s.at.After(r.faultFreeUntil) })
		bytes += meanRate(steady)
		seconds += float64(len(p.indexes))
	}
	if seconds > 0 {
		m.SimulatedKBS = bytes / seconds / kilobyte
	}
	if !r.separateProcesses {
		m.Controller, m.SimulatedProcesses = nil, nil // all shared one process
		return
	}
	for _, member := range r.memberProcesses {
		m.Members = append(m.Members, member.usage())
	}
}

func (r *run) notes() []string {
	if !r.separateProcesses {
		return []string{"all members and conductors shared one process: no processor time or memory is told of them"}
	}
	own := "measured: one conductor in a process of its own, which is the real client and follower alone: no data plane, serves no sidecars"
	if r.controllerProgram != "" {
		own = "measured: one conductor in a process of its own, which is harehookd that follows the group; it serves no sidecars"
	}
	return []string{
		fmt.Sprintf("measured: %d members, each a process with its log on disk, on loopback", r.plan.Members),
		own,
		fmt.Sprintf("hollow: %d conductors in %d processes, the real client and follower each with its own stream, no data plane", len(r.controllers)-1, len(r.controllerProcesses)-1),
		"all ran on one machine, so delays of the network are those of loopback",
	}
}

// WriteJSON writes the report as one object.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// usageSince is what a worker of controllers used since a time.
func (p *controllerProcess) usageSince(since time.Time) ProcessUsage {
	return summarizeUsage(p.samples, p.resident, since)
}

func summarizeUsage(samples []sample, resident int64, since time.Time) ProcessUsage {
	samples = samplesSince(samples, since)
	return ProcessUsage{CPU: meanRate(samples), BusiestCPU: maxRate(samples), WorstMB: float64(resident) / megabyte}
}

func samplesSince(samples []sample, since time.Time) []sample {
	return slices.DeleteFunc(slices.Clone(samples), func(s sample) bool { return s.at.Before(since) })
}

// wireSamples are the bytes of a worker in and out since a time.
func (p *controllerProcess) wireSamples(since time.Time) (samples []sample) {
	for _, one := range p.wire {
		samples = append(samples, sample{time.Unix(0, one.At), float64(one.In + one.Out)})
	}
	return samplesSince(samples, since)
}
