// Package testbed implements the command harehook-testbed, with each subcommand in a file of its own: experiments (run,
// table) and single seeds (hunt, replay) of simulated groups, seeds of simulated followers (follow), the load test of
// followers (fleet), and measurements of the cost of each part by its size (slopes). Each subcommand parses its flags,
// calls one of the packages simulation, simulation/followers, loadtest and scaling, and prints the result.
//
// The main packages cmd/harehook-testbed and cmd/harehook-lab (its former name) call Main.
package testbed
