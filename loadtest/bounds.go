package loadtest

import "fmt"

// Bounds are what a run is held to; one of 0 is not checked. That no controller loses a change, holds other contents or
// goes back to an older revision is always checked. The names in JSON are those of the first release.
type Bounds struct {
	ConvergenceS  float64 `json:"in_force_s"`     // from a change's answer until it has converged, the worst
	OverheadBytes float64 `json:"bytes_beside"`   // of one record changed, to an interested controller, beside the record
	RestartP90S   float64 `json:"restart_nine_s"` // until nine in ten restarted controllers are in step
	RestartAllS   float64 `json:"restart_all_s"`
	ControllerCPU float64 `json:"conductor_cpu"` // part of a core, busiest 10 s of steady running
	ControllerMB  float64 `json:"conductor_mb"`  // resident
	ControllerKBS float64 `json:"conductor_kbs"` // kilobytes a second in and out, busiest 10 s of steady running
}

// DefaultBounds are the operators'.
func DefaultBounds() Bounds {
	return Bounds{
		ConvergenceS:  7,
		OverheadBytes: 1024,
		RestartP90S:   10,
		RestartAllS:   30,
		ControllerCPU: 0.011,
		ControllerMB:  128,
		ControllerKBS: 16,
	}
}

// BrokenBounds names the bounds that a run broke, one line each; violations are among them.
func (m *Measured) BrokenBounds(b Bounds) (lines []string) {
	check := func(name string, limit, measured float64, unit string) {
		if limit > 0 && measured > limit {
			lines = append(lines, fmt.Sprintf("%s: %.4g %s, bound %.4g", name, measured, unit, limit))
		}
	}
	check("in force at the worst", b.ConvergenceS, m.Convergence.WorstMS/1000, "s")
	check("bytes to an interested conductor beside the record, at the worst", b.OverheadBytes, float64(m.Messages.RecordOverhead.Worst), "bytes")
	if m.Restarted != nil {
		check("all restarted, nine in ten in step", b.RestartP90S, m.Restarted.P90MS/1000, "s")
		check("all restarted, all in step", b.RestartAllS, m.Restarted.WorstMS/1000, "s")
	}
	if m.Controller != nil {
		check("processor time of the conductor in its own process", b.ControllerCPU, m.Controller.BusiestCPU, "of a core")
		check("memory of the conductor in its own process", b.ControllerMB, m.Controller.WorstMB, "MB")
		check("bytes of the conductor in its own process", b.ControllerKBS, m.Controller.BusiestKBS, "KB/s")
	}
	if m.Messages.UninterestedRecords > 0 {
		lines = append(lines, fmt.Sprintf("records to uninterested conductors: %d, bound 0", m.Messages.UninterestedRecords))
	}
	for _, violation := range m.Violations {
		lines = append(lines, violation.String())
	}
	return lines
}
