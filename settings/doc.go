// Package settings decodes the platform's settings: the JSON document by which a controller learns of its deployment at
// its start.
//
// Its one job is Decode, which the platform's program and the simulator's adapter (platform/simhost) call. It gives a
// Deployment: the planner's configuration, and the names behind the planner's numbers. Settings by which no controller
// can work are refused with a *ValueError. The package config makes a Deployment of its own for installations without
// the platform.
//
// Shards above 0 make the planner inactive, see planner.Config: a store hands out the tables.
//
// The keys and words of the document are the platform's. raw.go maps them to the project's terms; beside it, validate.go
// names keys in refusals.
package settings
