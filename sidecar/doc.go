// Package sidecar implements the data plane of installations without the platform: it receives the routing
// configuration from a controller over xDS and forwards an application's HTTP/1.1 requests accordingly.
//
//   - A [ResourceCache] validates the resources that a controller sends, accepts (ACK) or rejects (NACK) them, and
//     stores the accepted ones.
//   - A [RoutingTable] is built from accepted resources only, and is the only input to routing. Cache and table do no
//     I/O.
//   - A [Store] persists the accepted resources, so that the sidecar restarts with the last accepted versions.
//   - A [Client] keeps a stream open to one of several controllers, and sends load reports.
//   - A [Proxy] accepts requests on a listener and forwards them; a [LoadRecorder] counts the outcomes.
//
// The program harehook-sidecar combines them.
package sidecar
