// Package transport serves sidecars over gRPC in installations without the platform. It connects the state machines of
// package xds, which compute the responses for each sidecar, to the controller, which makes the plans.
//
// [Server.Run] registers three services: aggregated discovery (ADS), load reporting (LRS) and client status discovery
// (CSDS) for operators. Server.RegisterServices may add more. One goroutine, the hub, owns the state machines. Each
// stream has two goroutines: one receives requests and posts them to the hub, the other sends responses. The hub never
// blocks on a stream: a sidecar that does not read its responses is disconnected.
//
// [EndpointWatcher] is a client: it watches the endpoint list of the installation on another xDS service.
package transport
