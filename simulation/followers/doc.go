// Package followers simulates the followers of a group on a virtual clock: controllers that receive the agreed
// configuration without being members. It checks that configuration sync preserves its properties when connections are
// lost, members crash or lag, and many followers connect at the same time. Apart from the tests, only the command
// harehook-testbed (follow) uses it.
//
// The state machines of package configsync (Server and Stream at a member, Follower and Backoff at a follower) and the
// stores of package records are real. The group's log, the network, time, and the processes that run the state machines
// are simulated. All randomness is derived from one seed, so runs with the same seed are identical, byte for byte.
//
// # Use
//
// Play simulates the run that a Setup describes and returns its Outcome: the violations that the checkers found, and
// counts that show how many cases the run has covered. PlayAll simulates runs for several seeds in parallel, on all
// cores.
//
// # Design
//
// A world holds the state of a run in progress: a clock, members, followers, sessions between them, and an agreedLog
// whose entries the members apply one by one. The agreedLog also computes, with a naive model, the contents of each
// scope at each revision. faults.go injects random faults; checker.go, cost.go, convergence.go and delay.go compare the
// behavior of the state machines with the model.
//
// Tests verify that the checkers detect faults: a Planted fault breaks the program on purpose, and a checker must
// report the violation of the corresponding property.
package followers
