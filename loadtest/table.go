package loadtest

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteTable writes the report as tables for people.
func (r *Report) WriteTable(out io.Writer) error {
	a, m := r.Plan, r.Measured
	fmt.Fprintf(out, "%d conductors, %d members, %d records (%d services, %d routes, %d tenants), %d regions, %d zones; %d changes at %g a second; faults %v; seed %d\n\n",
		a.Controllers, a.Members, m.Records, a.Services, a.Routes, a.Tenants, a.Regions, a.Zones, m.Changes, a.Changes, a.Faults, a.Seed)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	m.writeTimes(w)
	m.writeBytes(w)
	m.writeUsage(w)
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for _, note := range m.Notes {
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

func (m *Measured) writeTimes(w io.Writer) {
	fmt.Fprint(w, "TIME\tCOUNT\tMEDIAN\t9 IN 10\t99 IN 100\tWORST\t\n")
	row := func(name string, t DurationSummary) {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t\n", name, t.Count, inMS(t.MedianMS), inMS(t.P90MS), inMS(t.P99MS), inMS(t.WorstMS))
	}
	row("from answer to in force", m.Convergence)
	for _, fault := range slices.Sorted(maps.Keys(m.ConvergenceByFault)) {
		row("  while played: "+string(fault), m.ConvergenceByFault[fault])
	}
	for _, fault := range slices.Sorted(maps.Keys(m.Followers)) {
		name := "follower, concerned by: " + string(fault)
		if count := m.Affected[fault]; count > 0 {
			name += fmt.Sprintf(" (%d times)", count)
		}
		row(name, m.Followers[fault])
	}
	row("  interested, concerned by: none", m.Interested)
	row("start until in step", m.Start)
	if m.Restarted != nil {
		row("restart until in step", *m.Restarted)
	}
	fmt.Fprintln(w, "\t\t\t\t\t\t")
}

func inMS(value float64) string { return fmt.Sprintf("%.4g ms", value) }

func (m *Measured) writeBytes(w io.Writer) {
	fmt.Fprint(w, "MESSAGES, BYTES\tCOUNT\tMEDIAN\t\t99 IN 100\tWORST\t\n")
	row := func(name string, b SizeSummary) {
		fmt.Fprintf(w, "%s\t%d\t%d\t\t%d\t%d\t\n", name, b.Count, b.Median, b.P99, b.Worst)
	}
	row("change, to interested", m.Messages.Change)
	row("  beside each record", m.Messages.RecordOverhead)
	row("progress, to uninterested", m.Messages.Progress)
	row("whole scope", m.Messages.FullScope)
	fmt.Fprintf(w, "heartbeats\t%d\t\t\t\t\t\n", m.Messages.Heartbeats)
	fmt.Fprintf(w, "interested conductors a change\t%.1f\t\t\t\t\t\n", m.Messages.InterestedPerChange)
	fmt.Fprintln(w, "\t\t\t\t\t\t")
}

func (m *Measured) writeUsage(w io.Writer) {
	if m.Controller == nil {
		return
	}
	fmt.Fprint(w, "PROCESS\tCPU\tBUSIEST 10 S\tMB\tKB/S\tBUSIEST 10 S\t\n")
	row := func(name string, u ProcessUsage, kbs, busiest string) {
		fmt.Fprintf(w, "%s\t%.2f%%\t%.2f%%\t%.1f\t%s\t%s\t\n", name, 100*u.CPU, 100*u.BusiestCPU, u.WorstMB, kbs, busiest)
	}
	c := m.Controller
	name := "client alone, own process"
	if c.IsProgram {
		name = "harehookd, own process"
	}
	row(name, c.ProcessUsage, fmt.Sprintf("%.2f", c.KBS), fmt.Sprintf("%.2f", c.BusiestKBS))
	fmt.Fprintf(w, "its start: CPU %.0f ms\t\t\t\t%.0f KB\t\t\n", 1000*c.StartCPU, c.StartKB)
	for _, member := range m.Members {
		row(fmt.Sprintf("member %d", member.ID), member.ProcessUsage, "", "")
	}
	for _, use := range m.SimulatedProcesses {
		row("hollow conductors", use, "", "")
	}
	fmt.Fprintf(w, "hollow conductor, on average\t\t\t\t%.2f\t\t\n", m.SimulatedKBS)
}
