package loadtest

import "fmt"

// Bounds holds upper limits for the measurements of a run; a bound of 0 is not checked. Each run also checks that no
// controller loses a change, accepts contents that differ from the agreed ones or goes back to an older revision. The
// names in JSON are those of the first release.
type Bounds struct {
	ConvergenceS  float64 `json:"in_force_s"`     // maximum time from the answer to a proposal until the change has converged
	OverheadBytes float64 `json:"bytes_beside"`   // of a message to an interested controller, per changed record and without its body
	RestartP90S   float64 `json:"restart_nine_s"` // until 90% of the restarted controllers are in step
	RestartAllS   float64 `json:"restart_all_s"`  // until all restarted controllers are in step
	ControllerCPU float64 `json:"conductor_cpu"`  // fraction of a core, busiest 10 s of steady operation
	ControllerMB  float64 `json:"conductor_mb"`   // resident
	ControllerKBS float64 `json:"conductor_kbs"`  // kilobytes per second received and sent, busiest 10 s of steady operation
}

// DefaultBounds returns the bounds that operators require.
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

// BrokenBounds returns one line for each broken bound and for each violation.
func (m *Measured) BrokenBounds(b Bounds) (lines []string) {
	check := func(name string, limit, measured float64, unit string) {
		if limit > 0 && measured > limit {
			lines = append(lines, fmt.Sprintf("%s: %.4g %s, bound %.4g", name, measured, unit, limit))
		}
	}
	check("maximum convergence time", b.ConvergenceS, m.Convergence.WorstMS/1000, "s")
	check("maximum overhead per record in a message to an interested controller", b.OverheadBytes, float64(m.Messages.RecordOverhead.Worst), "bytes")
	if m.Restarted != nil {
		check("time until 90% of the restarted controllers are in step", b.RestartP90S, m.Restarted.P90MS/1000, "s")
		check("time until all restarted controllers are in step", b.RestartAllS, m.Restarted.WorstMS/1000, "s")
	}
	if m.Controller != nil {
		check("CPU time of the controller in its own process", b.ControllerCPU, m.Controller.BusiestCPU, "of a core")
		check("memory of the controller in its own process", b.ControllerMB, m.Controller.WorstMB, "MB")
		check("traffic of the controller in its own process", b.ControllerKBS, m.Controller.BusiestKBS, "KB/s")
	}
	if m.Messages.UninterestedRecords > 0 {
		lines = append(lines, fmt.Sprintf("records outside the scope of a controller: %d, bound 0", m.Messages.UninterestedRecords))
	}
	for _, violation := range m.Violations {
		lines = append(lines, violation.String())
	}
	return lines
}
