package loadtest

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteTable writes the report as human-readable tables.
func (r *Report) WriteTable(out io.Writer) error {
	r.writeHeading(out)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	r.Measured.writeTimes(w)
	r.Measured.writeMessages(w)
	r.Measured.writeUsage(w)
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for _, note := range r.Measured.Notes {
		fmt.Fprintln(out, note)
	}
	if len(r.Broken) == 0 {
		fmt.Fprintln(out, "all bounds held")
	}
	for _, line := range r.Broken {
		fmt.Fprintln(out, "BROKEN", line)
	}
	return nil
}

// writeHeading writes the parameters of the run.
func (r *Report) writeHeading(out io.Writer) {
	plan := r.Plan
	fmt.Fprintf(out, "%d conductors, %d members, %d records (%d services, %d routes, %d tenants), %d regions, %d zones; ",
		plan.Controllers, plan.Members, r.Measured.Records, plan.Services, plan.Routes, plan.Tenants, plan.Regions, plan.Zones)
	fmt.Fprintf(out, "%d changes at %g a second; faults %v; seed %d\n\n",
		r.Measured.Changes, plan.Changes, plan.Faults, plan.Seed)
}

// writeTimes writes the durations of changes, starts and restarts.
func (m *Measured) writeTimes(w io.Writer) {
	fmt.Fprint(w, "TIME\tCOUNT\tMEDIAN\t9 IN 10\t99 IN 100\tWORST\t\n")
	row := func(name string, d DurationSummary) {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t\n", name, d.Count, formatMS(d.MedianMS), formatMS(d.P90MS), formatMS(d.P99MS), formatMS(d.WorstMS))
	}
	row("from answer to convergence", m.Convergence)
	for _, fault := range slices.Sorted(maps.Keys(m.ConvergenceByFault)) {
		row("  during fault: "+string(fault), m.ConvergenceByFault[fault])
	}
	for _, fault := range slices.Sorted(maps.Keys(m.Followers)) {
		name := "follower, affected by: " + string(fault)
		if count := m.Affected[fault]; count > 0 {
			name += fmt.Sprintf(" (%d times)", count)
		}
		row(name, m.Followers[fault])
	}
	row("  interested, affected by: none", m.Interested)
	row("start until in step", m.Start)
	if m.Restarted != nil {
		row("restart until in step", *m.Restarted)
	}
	fmt.Fprintln(w, "\t\t\t\t\t\t")
}

// formatMS formats milliseconds with four significant digits.
func formatMS(value float64) string { return fmt.Sprintf("%.4g ms", value) }

// writeMessages writes the sizes of messages.
func (m *Measured) writeMessages(w io.Writer) {
	fmt.Fprint(w, "MESSAGES, BYTES\tCOUNT\tMEDIAN\t\t99 IN 100\tWORST\t\n")
	row := func(name string, size SizeSummary) {
		fmt.Fprintf(w, "%s\t%d\t%d\t\t%d\t%d\t\n", name, size.Count, size.Median, size.P99, size.Worst)
	}
	row("change, to interested", m.Messages.Change)
	row("  overhead per record", m.Messages.RecordOverhead)
	row("progress, to uninterested", m.Messages.Progress)
	row("full scope", m.Messages.FullScope)
	fmt.Fprintf(w, "heartbeats\t%d\t\t\t\t\t\n", m.Messages.Heartbeats)
	fmt.Fprintf(w, "interested controllers per change\t%.1f\t\t\t\t\t\n", m.Messages.InterestedPerChange)
	fmt.Fprintln(w, "\t\t\t\t\t\t")
}

// writeUsage writes the resource usage of the processes, if it was measured.
func (m *Measured) writeUsage(w io.Writer) {
	if m.Controller == nil {
		return
	}
	fmt.Fprint(w, "PROCESS\tCPU\tBUSIEST 10 S\tMB\tKB/S\tBUSIEST 10 S\t\n")
	row := func(name string, u ProcessUsage, kbs, busiestKBS string) {
		fmt.Fprintf(w, "%s\t%.2f%%\t%.2f%%\t%.1f\t%s\t%s\t\n", name, 100*u.CPU, 100*u.BusiestCPU, u.WorstMB, kbs, busiestKBS)
	}
	name := "client only, own process"
	if m.Controller.IsProgram {
		name = "harehook-xds, own process"
	}
	controller := m.Controller
	row(name, controller.ProcessUsage, fmt.Sprintf("%.2f", controller.KBS), fmt.Sprintf("%.2f", controller.BusiestKBS))
	fmt.Fprintf(w, "its start: CPU %.0f ms\t\t\t\t%.0f KB\t\t\n", 1000*controller.StartCPU, controller.StartKB)
	for _, member := range m.Members {
		row(fmt.Sprintf("member %d", member.ID), member.ProcessUsage, "", "")
	}
	for _, usage := range m.SimulatedProcesses {
		row("simulated controllers", usage, "", "")
	}
	fmt.Fprintf(w, "simulated controller, mean\t\t\t\t%.2f\t\t\n", m.SimulatedKBS)
}
