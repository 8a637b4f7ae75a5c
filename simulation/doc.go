// Package simulation runs a Raft group that agrees on a configuration, with faults, on a virtual clock. It checks that
// the group's code preserves its properties under crashes, partitions, slow disks and membership changes, and it
// measures how long agreement takes. Apart from the tests, only the command harehook-testbed uses it.
//
// The state machine of a member (cluster.Member, which wraps the raft library) and the configuration that results from
// its log are real. The disks, the network, the operators who propose and read, the sidecars that receive what members
// publish, and time, which advances in ticks, are simulated. All randomness is derived from one seed, so runs with the
// same seed are identical, byte for byte: a failed run can be replayed from its seed, and Shrink reduces its faults to
// those that are needed for the failure.
//
// # Use
//
// Play simulates the run that a Setup describes and returns its Outcome: the violations that the checkers found, and
// measurements. ReadExperiment reads an Experiment, which runs one setup with many seeds and values of swept figures.
// It produces one Row per run; Table and Charts present the rows.
//
// # Design
//
// A world holds the state of a run in progress. Its step method advances the run by one tick: it runs the events that
// are due (arrivals of messages, starts and ends of faults), then a tick of each member that is up, then the operator
// and the sidecars. Each of these has its own files: network.go, faults.go, member.go and disk.go, operator.go,
// sidecars.go.
//
// The checkers are independent of the simulated state machines: checks.go contains the checkers of members and
// sidecars, history.go the checker of the results that operators receive. Tests verify that the checkers detect faults:
// a Planted fault breaks the program on purpose, and a checker must report it. Package simulation/followers simulates
// the followers of a group in the same way.
package simulation
