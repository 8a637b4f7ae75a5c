// Package loadtest runs a fleet of controllers that follow a group of members on one machine. It measures the latency
// and the cost of propagating configuration changes to all controllers. The command harehook-testbed (fleet) uses it;
// docs/fleet.md is the manual.
//
// The members are real: each is a cluster.Node with its log on disk and the service that followers connect to. Each has
// its own process unless a test runs everything in one process. Most controllers are simulated: each is the real client
// and follower without a data plane, and many share a process. One controller has its own process, whose CPU time,
// memory and network traffic are measured. All traffic stays on loopback.
//
// # Use
//
// Play executes a Plan and returns a Report with the measurements and the broken Bounds. ReadExperiment reads plans
// from KDL. Experiment.Sweep runs an Experiment whose figure has several values and returns a Sweep.
//
// # Design
//
// A run (run.go) owns workers, which are processes of the same program. Work is the worker's main function, and
// protocol.go defines the messages between workers and the run. memberProcess and controllerProcess represent workers
// in the run; memberWorker, controllersWorker and programWorker implement them in the worker process.
//
//   - A Configuration is generated from the seed, loaded into the group and then changed one record at a time.
//   - The recorder collects the events of each controller in a history, and the changes that the group agreed on.
//   - After the run, timings.go computes the latency of changes, and violations.go compares the records that
//     controllers had accepted with a Model of the agreed configuration.
package loadtest
