// Package fakeplatform provides fakes of the parties that a controller communicates with. They implement the platform's
// protocol over loopback: the Relay with its proxies, Discovery, and the Collector of a zone. For
// installations without the platform there are a NodeServer, a Forwarder that can cut connections, and an Authority
// that issues certificates. Channel simulates how the relay delivers commands, without sockets.
//
// A fake records what it receives, so that tests can inspect it, and injects faults on request. Tests and the quick
// start (example/toy) use this package; no program of an installation does.
package fakeplatform
