// Package records stores the configuration that controllers agree on as records: routes, services, tenants and
// overrides, each with the revision that set it. It keeps the records consistent: a transaction is applied completely
// or not at all, and it is rejected if it would break a rule that spans several records.
//
// The package does no I/O and reads no clock: the content of a Store depends only on the transactions applied to it, so
// that all members of a group (package cluster) have the same content. A revision is an index of the group's log.
// Revisions order all changes across all members, and each change has its own revision.
//
// # Types
//
//   - Record is one piece of configuration: Key, Revision and Body, which is a RouteSpec, ServiceSpec, TenantSpec or
//     OverrideSpec in canonical JSON. A record is immutable.
//   - Transaction is a set of Writes; each Write states the revision that its record must have.
//   - Store applies transactions. A Change describes the result of an applied transaction, with an Update for each
//     record.
//   - Source is the interface for reading a Store: a View contains the records of a Scope, a Delta the changes in a
//     Scope since a revision.
//
// # Callers
//
// cluster.State applies the entries of the log to its Store. The daemon reads routes and overrides from it, the servers
// of package configsync send Views and Deltas to followers, and package config converts records to text and back.
//
// # Where to look
//
//   - A transaction is rejected: errors.go lists the causes; rules.go has the rules that span several records, specs.go
//     those for a single record.
//   - A Delta is not available, or the configuration can't be rolled back to a version: history.go bounds the retained
//     changes.
//   - The number by which sidecars identify a set of routes: routingrevisions.go.
//   - The encoding on disk and between members: encode.go and decode.go.
package records
