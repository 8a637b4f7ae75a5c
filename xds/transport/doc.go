// Package transport serves sidecars over gRPC for installations without the platform. It connects the state machines of
// package xds, which decide what each sidecar is sent, and the controller, which plans.
//
// [Server] has four services: aggregated discovery ([Server.Run] registers it), load reporting, client status discovery for
// operators, and what Server.RegisterServices adds. One goroutine, the hub, owns the machines; each stream has a goroutine
// that receives and posts requests to the hub, and one that sends. The hub never waits for a stream: a sidecar that does not
// read its responses is disconnected.
//
// [EndpointWatcher] is a client: it watches the endpoint list of an installation that another xDS service keeps.
package transport
