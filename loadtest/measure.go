package loadtest

import (
	"cmp"
	"fmt"
	"slices"

	"harehook.dev/harehook/configsync"
)

// noFault is the key in reports for measurements that no fault affected.
const noFault Fault = "none"

// maxIncarnations is an upper limit for the incarnations of a controller in a run.
const maxIncarnations = 1 << 10

// report computes the report of the run. It must be called only after all workers have ended.
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

// violations returns the invariants that were violated.
func (r *run) violations() []Violation {
	violations := checkHistories(r.model, r.recorder.histories, r.recorder.newestRevision())
	if r.programViolation != "" {
		name := r.controllers[measuredController].Name
		violations = append(violations, Violation{Controller: name, Description: r.programViolation})
	}
	return violations
}

// reportTimes fills in the durations of changes, starts and restarts.
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

// reportMessages fills in the messages that simulated controllers received.
func (r *run) reportMessages(measured *Measured) error {
	all := newMessageMeter()
	for _, p := range r.controllerProcesses {
		if p.isProgram {
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
		FullScopeInStep:     all.fullScopeInStep,
		FullScopeAgain:      all.fullScopeAgain,
		UninterestedRecords: r.recorder.uninterestedRecords(),
		InterestedPerChange: r.recorder.interestedPerChange(),
	}
	return nil
}

// uninterestedRecords returns the number of records outside a controller's scope, summed over all accepted revisions of
// all controllers.
func (r *recorder) uninterestedRecords() (count int64) {
	for _, h := range r.histories {
		for _, accepted := range h.accepted {
			count += int64(accepted.outside)
		}
	}
	return count
}

// interestedPerChange returns the mean number of controllers whose scope a change affected.
func (r *recorder) interestedPerChange() float64 {
	interested := 0
	for _, c := range r.changes {
		interested += len(c.interested)
	}
	return float64(interested) / float64(max(1, len(r.changes)))
}

// notes describe which parts of the fleet were measured and which were simulated.
func (r *run) notes() []string {
	if !r.separateProcesses {
		return []string{"all members and controllers shared one process, so their CPU time and memory were not measured"}
	}
	measuredNote := "measured: one controller in its own process, which is only the real client and follower, without a data plane or sidecars"
	if r.controllerProgram != "" {
		measuredNote = "measured: one controller in its own process, which is harehook-xds as a follower of the group, without sidecars"
	}
	return []string{
		fmt.Sprintf("measured: %d members, each in its own process with its log on disk, on loopback", r.plan.Members),
		measuredNote,
		fmt.Sprintf("simulated: %d controllers in %d processes, each the real client and follower with its own stream, without a data plane",
			len(r.controllers)-1, len(r.controllerProcesses)-1),
		"all processes ran on one machine, so network delays are those of loopback",
	}
}
