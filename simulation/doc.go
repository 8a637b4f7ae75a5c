// Package simulation plays a group that agrees on a configuration, with its faults, on a virtual clock. It shows that
// the group's code keeps its promises under crashes, partitions, slow disks and changes of members, and it measures how
// long agreement takes. The command harehook-testbed is its only user beside the tests.
//
// What is real: the state machine of a member (cluster.Member, which wraps the raft library) and the configuration that
// its log leads to. What is simulated: the disks, the network, the operators who propose and read, the sidecars that
// take what members publish, and time, which passes in ticks. All chance comes from one seed, so that one seed is one
// run, byte for byte: a run that fails is played again by its seed, and Shrink finds the faults that it takes.
//
// # Use
//
// Play plays the run of a Setup and returns its Outcome. The Outcome lists violations, which checkers find, and
// measurements. ReadExperiment reads an Experiment, which plays one setup with many seeds and figures; it gives a Row a
// run, and Table and Charts show the rows.
//
// # Design
//
// A world is a run under way. Its step lets one tick pass: events that are due (messages that arrive, faults that begin
// or end), a tick of each member that is up, then the operator and the sidecars. Each of these has a file: network.go,
// faults.go, member.go and disk.go, operator.go, sidecars.go.
//
// Checkers stand outside of the machines: checks.go has those of members and sidecars, history.go that of what operators
// were answered. Each is shown to see: a Planted fault breaks the program on purpose, and a test asks that a checker
// reports it. Package simulation/followers does the same for the followers of a group.
package simulation
