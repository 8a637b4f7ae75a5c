package configsync

import (
	"fmt"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

// Handshake is what a follower says with the first request of a stream.
type Handshake struct {
	Name     string
	Scope    records.Scope
	Revision uint64 // that it has accepted, 0 if none
}

// Update is a response of a member: a heartbeat, or records and what they do to those that a follower has.
type Update struct {
	Revision        uint64
	RoutingRevision uint64 // the revision at which a route of the scope last changed, also if the update has no route
	Nonce           string // empty: a heartbeat, which is not answered
	FullScope       bool   // Records are the full scope; else they are what changed
	Records         []*records.Record
	Removed         []records.Key
}

// IsHeartbeat tells whether an update has no nonce: it renews the lease and is not answered.
func (u Update) IsHeartbeat() bool { return u.Nonce == "" }

// isEmpty tells whether an update changes no record.
func (u Update) isEmpty() bool { return len(u.Records)+len(u.Removed) == 0 }

// Content summarizes a response, for measurements and checks.
type Content struct {
	FullScope bool
	Records   int // that it has or removes
}

// ContentOf returns the summary of a response without decoding its records.
func ContentOf(response *discoveryv3.DeltaDiscoveryResponse) Content {
	content := Content{Records: len(response.GetRemovedResources())}
	for _, resource := range response.GetResources() {
		switch resource.GetName() {
		case fullScopeName:
			content.FullScope = true
		case routingRevisionName:
		default:
			content.Records++
		}
	}
	return content
}

// UnsupportedTypeError says that a request is for another type of resource than [TypeURL].
type UnsupportedTypeError struct{ TypeURL string }

// Error implements error. The URL comes from the wire, so it is quoted and cut.
func (e *UnsupportedTypeError) Error() string {
	return fmt.Sprintf("type %.100q is not served here", e.TypeURL)
}

// UnknownNonceError says that a request answers an update that was not sent, or was answered before.
type UnknownNonceError struct{ Nonce string }

// Error implements error. The nonce comes from the wire, so it is quoted and cut.
func (e *UnknownNonceError) Error() string {
	return fmt.Sprintf("nonce %.100q answers nothing that was sent", e.Nonce)
}
