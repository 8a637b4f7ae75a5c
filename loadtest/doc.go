// Package loadtest runs a fleet of controllers that follow a group of members on one machine, and measures how fast and
// at what cost changes of configuration reach all of them. The command harehook-testbed (fleet) is its user;
// docs/fleet.md is its manual.
//
// The members are real: each is a cluster.Node with its log on disk and the service that followers connect to, in a
// process of its own unless a test asks for one process. Most controllers are simulated: the real client and follower,
// many in a process, without a data plane. One controller has a process of its own, whose processor time, memory and
// bytes are measured. All traffic stays on loopback.
//
// # Use
//
// Play carries out a Plan and returns a Report, which says what was measured and which Bounds broke. ReadExperiment reads
// plans from KDL; an Experiment whose figure takes several values gives a Sweep.
//
// # Design
//
// A run (run.go) owns workers, which are processes of the same program: Work is their body, protocol.go the messages
// between them and the run. A memberProcess or controllerProcess is a worker as the run sees it; memberWorker,
// controllersWorker and programWorker are what runs in it.
//
//   - A Configuration, drawn from the seed, is loaded into the group and then changed, one record at a time.
//   - The recorder collects what controllers report, as a history each, and the changes that the group agreed on.
//   - At the end, timings.go computes from these how long changes took, and violations.go compares what controllers held
//     with a Model of what was agreed.
package loadtest
