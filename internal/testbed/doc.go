// Package testbed implements the command harehook-testbed, with each subcommand in a file of its own. The subcommands
// run experiments of a simulated group and print their tables (run, table), search a range of seeds for a violation and
// replay a single seed (hunt, replay), simulate followers of a group (follow), run the load test of followers (fleet),
// and measure how the cost of each part grows with its size (slopes). Each subcommand parses its flags, calls one of
// the packages simulation, simulation/followers, loadtest and scaling, and prints the result.
//
// The main packages cmd/harehook-testbed and cmd/harehook-lab (its former name) call Main.
package testbed
