// Package records holds the configuration that controllers agree on as records: routes, services, tenants and overrides,
// each with the revision that set it. Its one job is to keep them consistent: a transaction is applied as a whole or not
// at all, and none breaks a rule over several records.
//
// The package does no I/O and reads no clock: a Store is a function of the transactions applied to it, so that all
// members of a group (package cluster) have the same one. A revision is an index of the group's log; revisions order all
// changes over all members, and no two changes share one.
//
// # Types
//
//   - Record is one piece of configuration: Key, Revision and Body, which is a RouteSpec, ServiceSpec, TenantSpec or
//     OverrideSpec in canonical JSON. It is never changed once it is made.
//   - Transaction is a set of Writes; each states the revision that its record has to have.
//   - Store applies transactions. What an applied one did is a Change, with an Update for each record.
//   - Source is how a Store is read: View is the records of a Scope, Delta what changed in it since a revision.
//
// # Who calls it
//
// cluster.State applies the entries of the log to its Store. The daemon reads routes and overrides from it; the servers of
// package configsync send Views and Deltas to followers; package config turns records into text and back.
//
// # Where to look
//
//   - A transaction is rejected: errors.go names the causes; rules.go has the rules over several records, specs.go those
//     of one.
//   - A Delta is not available, or a version can't be rolled back to: history.go bounds the changes that are retained.
//   - The number that sidecars know a set of routes by: routingrevisions.go.
//   - Bytes on disk and between members: encode.go and decode.go.
package records
