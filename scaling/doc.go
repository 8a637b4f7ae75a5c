// Package scaling measures how the cost of each part of the control plane grows with its size. The command
// harehook-testbed (slopes) is its user; docs/CAPACITY.md compares the results with the operators' budget.
//
// A Slope is one part: its Run does one operation again and again at a size, and returns a Sample of what that took:
// processor time of the process, bytes and objects allocated, bytes on the wire or on disk, memory that stays in use. Take
// runs a slope at several sizes. FitOf turns the samples into a growth exponent and a straight line.
//
// Processor time is that of the process (getrusage) and not wall time, so that other load on the machine shows in it as
// little as possible. Tests bound only what is the same on every run: counts, bytes and their growth.
//
// Each file has the slopes of one part, which All lists: the planner's step (step.go), endpoint lists (list.go), load
// reports (loadreport.go), pushes over xDS (xdspush.go), memory (memory.go), the group (group.go, loopback.go) and its log
// (log.go), the agreed text (agreed.go) and records (record.go), and followers (follow.go, socket.go). A new part gets a
// file, a line in All, and bounds in bounds_test.go.
package scaling
