package loadtest

import (
	"cmp"
	"fmt"
	"slices"

	"harehook.dev/harehook/configsync"
)

// noFault is the key in reports of what no fault concerned.
const noFault Fault = "none"

// maxIncarnations bounds those of a controller in a run.
const maxIncarnations = 1 << 10

// report computes what was measured. All workers have ended.
func (r *run) report() (*Report, error) {
	measured := Measured{
		Separate:   r.separateProcesses,
		Records:    len(r.configuration.bodies),
		Changes:    len(r.recorder.changes),
		Violations: r.violations(),
		Notes:      r.notes(),
	}
	r.reportTimes(&measured)
	if err := r.reportMessages(&measured); err != nil {
		return nil, err
	}
	if r.separateProcesses {
		r.reportUsage(&measured)
	}
	measured.SimulatedKBS = r.simulatedKBS()
	return &Report{Plan: r.plan, Measured: measured, Broken: measured.BrokenBounds(r.plan.Bounds)}, nil
}

// violations is what must never be and was seen.
func (r *run) violations() []Violation {
	violations := checkHistories(r.model, r.recorder.histories, r.recorder.newestRevision())
	if r.programViolation != "" {
		name := r.controllers[measuredController].Name
		violations = append(violations, Violation{Controller: name, What: r.programViolation})
	}
	return violations
}

// reportTimes reports how long changes, starts and restarts took.
func (r *run) reportTimes(measured *Measured) {
	rec := r.recorder
	t := newTimings(rec.changes, rec.histories, configsync.DefaultLimits.Lease)
	measured.Convergence = t.convergence.summary()
	measured.ConvergenceByFault = summarizeByFault(t.convergenceByFault)
	measured.Followers = summarizeByFault(t.followers)
	measured.Affected = t.affected
	measured.Interested = t.interested.summary()
	measured.Start = durationsUntilInStep(rec.histories, 1, 1, rec.newestRevisionAt).summary()
	if slices.Contains(r.plan.Faults, FaultAllRestarted) {
		restarted := durationsUntilInStep(rec.histories, 2, maxIncarnations, rec.newestRevisionAt).summary()
		measured.Restarted = &restarted
	}
}

func summarizeByFault(histograms map[Fault]*durationHistogram) map[Fault]DurationSummary {
	summaries := map[Fault]DurationSummary{}
	for fault, histogram := range histograms {
		summaries[cmp.Or(fault, noFault)] = histogram.summary()
	}
	return summaries
}

// reportMessages reports the messages that simulated controllers received.
func (r *run) reportMessages(measured *Measured) error {
	all := newMessageMeter()
	for _, p := range r.controllerProcesses {
		if p.external {
			continue
		}
		if err := all.add(p.messages); err != nil {
			return err
		}
	}
	measured.Messages = Messages{
		Change:              summarizeSizes(all.change),
		Progress:            summarizeSizes(all.progress),
		FullScope:           summarizeSizes(all.full),
		Heartbeats:          all.heartbeats,
		RecordOverhead:      summarizeSizes(all.overhead),
		FullScopeInStep:     all.fullScopeRepeated,
		FullScopeAgain:      all.fullScopeAgain,
		UninterestedRecords: r.recorder.uninterestedRecords(),
		InterestedPerChange: r.recorder.interestedPerChange(),
	}
	return nil
}

// uninterestedRecords is how many records controllers held that are not of their scope, summed over what they accepted.
func (r *recorder) uninterestedRecords() (count int64) {
	for _, h := range r.histories {
		for _, accepted := range h.accepted {
			count += int64(accepted.outside)
		}
	}
	return count
}

// interestedPerChange is how many controllers a change concerned, on average.
func (r *recorder) interestedPerChange() float64 {
	interested := 0
	for _, c := range r.changes {
		interested += len(c.interested)
	}
	return float64(interested) / float64(max(1, len(r.changes)))
}

// notes say what is measured and what is simulated.
func (r *run) notes() []string {
	if !r.separateProcesses {
		return []string{"all members and conductors shared one process: no processor time or memory is told of them"}
	}
	measuredNote := "measured: one conductor in a process of its own, which is the real client and follower alone: no data plane, serves no sidecars"
	if r.controllerProgram != "" {
		measuredNote = "measured: one conductor in a process of its own, which is harehookd that follows the group; it serves no sidecars"
	}
	return []string{
		fmt.Sprintf("measured: %d members, each a process with its log on disk, on loopback", r.plan.Members),
		measuredNote,
		fmt.Sprintf("hollow: %d conductors in %d processes, the real client and follower each with its own stream, no data plane",
			len(r.controllers)-1, len(r.controllerProcesses)-1),
		"all ran on one machine, so delays of the network are those of loopback",
	}
}
