// Package fakeplatform plays the parties that a controller talks to, by the platform's page of the protocol, over
// loopback: the Relay with its proxies, Discovery, and a zone's Collector. For installations without the platform there
// are a NodeServer, a Forwarder that cuts connections, and an Authority of certificates. Channel plays the relay's
// delivery of commands without sockets.
//
// What a fake receives it keeps for the test to look at, and it fails as it is told to. Tests and the quick start
// (example/toy) use this package; no program of an installation does.
package fakeplatform
