// Package scaling measures how the cost of each part of the control plane grows with its size. The command
// harehook-testbed slopes prints the measurements; docs/CAPACITY.md compares the results with the operators' budget.
//
// A Slope is one part: its Run repeats an operation at one size and returns a Sample of the cost: processor time of the
// process, bytes and objects allocated, bytes on the wire or on disk, and retained memory. Measure runs a slope at
// several sizes. FitOf fits a growth exponent and a straight line to the samples.
//
// Processor time is that of the process (getrusage), not wall time, so that other load on the machine affects it as
// little as possible. Tests bound only quantities that are the same on every run: counts, bytes and their growth.
//
// Each file defines the slopes of one part, and All lists them: the planner's step (step.go), endpoint lists (list.go),
// load reports (loadreport.go), pushes over xDS (xdspush.go), memory (memory.go), the group (group.go, loopback.go) and
// its log (log.go), the agreed text (agreed.go), records (record.go) and followers (follow.go, socket.go). A new part
// needs a file, a line in All, and bounds in bounds_test.go.
package scaling
