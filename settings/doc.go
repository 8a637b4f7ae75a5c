// Package settings decodes the platform's settings: the JSON document that describes a controller's deployment and that
// the controller reads when it starts.
//
// Its entry point is Decode, which is called by the platform's program and by the simulator's adapter
// (platform/simhost). Decode returns a Deployment: the planner's configuration, and the names for the planner's
// numbers. It rejects values that no controller can work with and returns a *ValueError for them. Package config
// creates its own Deployment for installations without the platform.
//
// If shards is greater than 0, the planner is inactive (see planner.Config), because a store outside the controller
// distributes the tables.
//
// The keys and values of the document are defined by the platform. raw.go maps them to the project's terms; validate.go
// also uses the keys, in error messages.
package settings
