// Package followers plays the followers of a group on a virtual clock: controllers that receive the agreed configuration
// without being members. It shows that configuration sync keeps its promises when connections are lost, members crash or
// lag, and crowds of followers come at once. The command harehook-testbed (follow) is its only user beside the tests.
//
// What is real: the state machines of package configsync (Server and Stream at a member, Follower and Backoff at a
// follower) and the stores of package records. What is simulated: the group's log, the network, time, and the processes
// around the machines. All chance comes from one seed, so that one seed is one run, byte for byte.
//
// # Use
//
// Play plays the run of a Setup and returns its Outcome: violations, and counts that show how much a run has tried.
// PlayAll plays many on all cores.
//
// # Design
//
// A world is a run under way: a clock, members, followers, sessions between them, and an agreedLog that the members apply
// entry by entry. The agreedLog also computes, by a naive model, what each scope holds at each revision. faults.go draws
// what goes wrong; checker.go, cost.go, convergence.go and delay.go compare what the machines do with the model.
//
// The checkers are shown to see: a Planted fault breaks the program on purpose, and a test asks that the right property
// is reported as violated.
package followers
