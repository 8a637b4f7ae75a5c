package loadtest

// Row is the result of one run of a sweep. The columns of the Parquet file have the names of the first release.
type Row struct {
	Experiment         string  `parquet:"experiment,dict"`
	Figure             string  `parquet:"figure,dict"`
	Value              float64 `parquet:"value"`
	Seed               uint64  `parquet:"seed"`
	Controllers        int64   `parquet:"conductors"`
	Records            int64   `parquet:"records"`
	Changes            int64   `parquet:"changes"`
	ConvergenceMS      float64 `parquet:"in_force_median_ms"`
	ConvergenceWorstMS float64 `parquet:"in_force_worst_ms"`
	StartP90MS         float64 `parquet:"start_nine_in_ten_ms"`
	ChangeBytes        float64 `parquet:"change_bytes"`
	OverheadWorstBytes float64 `parquet:"beside_record_worst_bytes"`
	FullScopeBytes     float64 `parquet:"whole_bytes"`
	MemberCPU          float64 `parquet:"member_cpu"`
	MemberMB           float64 `parquet:"member_mb"`
	ControllerCPU      float64 `parquet:"conductor_cpu"`
	ControllerMB       float64 `parquet:"conductor_mb"`
	ControllerKBS      float64 `parquet:"conductor_kbs"`
	Broken             string  `parquet:"broken"` // one line per broken bound
}

// Rows returns a row for each run.
func (s *Sweep) Rows() (rows []Row) {
	for _, report := range s.Reports {
		rows = append(rows, s.newRow(report))
	}
	return rows
}

// newRow returns the row of a report.
func (s *Sweep) newRow(report *Report) Row {
	measured := report.Measured
	row := Row{
		Experiment:         s.Name,
		Figure:             s.Figure,
		Value:              s.value(report),
		Seed:               report.Plan.Seed,
		Controllers:        int64(report.Plan.Controllers),
		Records:            int64(measured.Records),
		Changes:            int64(measured.Changes),
		ConvergenceMS:      measured.Convergence.MedianMS,
		ConvergenceWorstMS: measured.Convergence.WorstMS,
		StartP90MS:         measured.Start.P90MS,
		ChangeBytes:        float64(measured.Messages.Change.Median),
		OverheadWorstBytes: float64(measured.Messages.RecordOverhead.Worst),
		FullScopeBytes:     float64(measured.Messages.FullScope.Median),
	}
	for _, member := range measured.Members {
		row.MemberCPU += member.CPU / float64(len(measured.Members))
		row.MemberMB += member.WorstMB / float64(len(measured.Members))
	}
	if controller := measured.Controller; controller != nil {
		row.ControllerCPU = controller.BusiestCPU
		row.ControllerMB = controller.WorstMB
		row.ControllerKBS = controller.BusiestKBS
	}
	for _, line := range report.Broken {
		row.Broken += line + "\n"
	}
	return row
}

// metric is a measured value that tables, charts and slopes show as a function of the swept figure.
type metric struct {
	name  string // in tables and in the names of charts
	unit  string
	value func(row *Row) float64
}

var metrics = []metric{
	{"in-force", "ms, median", func(r *Row) float64 { return r.ConvergenceMS }},
	{"in-force-worst", "ms", func(r *Row) float64 { return r.ConvergenceWorstMS }},
	{"start", "ms, nine in ten", func(r *Row) float64 { return r.StartP90MS }},
	{"change", "bytes, median", func(r *Row) float64 { return r.ChangeBytes }},
	{"whole", "bytes, median", func(r *Row) float64 { return r.FullScopeBytes }},
	{"member-cpu", "of a core, mean of members", func(r *Row) float64 { return r.MemberCPU }},
	{"member-memory", "MB, mean of members", func(r *Row) float64 { return r.MemberMB }},
	{"conductor-cpu", "of a core, busiest 10 s", func(r *Row) float64 { return r.ControllerCPU }},
	{"conductor-memory", "MB", func(r *Row) float64 { return r.ControllerMB }},
	{"conductor-wire", "KB/s, busiest 10 s", func(r *Row) float64 { return r.ControllerKBS }},
}
