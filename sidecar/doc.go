// Package sidecar is the data plane of installations without the platform: it receives routing from a controller over xDS
// and forwards an application's HTTP/1.1 requests by it.
//
//   - A [ResourceCache] validates what a controller sends, accepts it (ACK) or rejects it (NACK), and has the accepted
//     resources.
//   - A [RoutingTable] is made of accepted resources; requests are routed by nothing else. Cache and table do no I/O.
//   - A [Store] persists the accepted resources, so that a restart begins with the last good version.
//   - A [Client] has a stream to one of some controllers, and sends load reports.
//   - A [Proxy] takes requests on a listener and forwards them; what comes of it is counted by a [LoadRecorder].
//
// The program harehook-sidecar connects them.
package sidecar
