// Package testbed is the program harehook-testbed, a command a file: experiments (run, table) and seeds (hunt, replay) of
// groups in simulation, seeds of followers in simulation (follow), the load test of followers (fleet), and the cost of each
// part by size (slopes). Each command reads its flags, calls one of the packages simulation, simulation/followers, loadtest
// and scaling, and prints the result.
//
// The main packages cmd/harehook-testbed and cmd/harehook-lab, its former name, call Main.
package testbed
