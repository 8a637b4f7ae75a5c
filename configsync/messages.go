package configsync

import (
	"fmt"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

// Handshake is the content of the first request of a stream.
type Handshake struct {
	Name     string
	Scope    records.Scope
	Revision uint64 // the accepted revision, 0 if there is none
}

// Update is a response of a member: a heartbeat, or a full scope or delta of records.
type Update struct {
	Revision        uint64
	RoutingRevision uint64 // at which a route of the scope last changed, even if the update contains no route
	Nonce           string // empty for a heartbeat, which is not answered
	FullScope       bool   // whether Records is the full scope or only the changed records
	Records         []*records.Record
	Removed         []records.Key
}

// IsHeartbeat reports whether an update is a heartbeat, which has no nonce, confirms a lease renewal and is not
// answered.
func (u Update) IsHeartbeat() bool { return u.Nonce == "" }

// isEmpty reports whether an update contains no changed or removed record.
func (u Update) isEmpty() bool { return len(u.Records)+len(u.Removed) == 0 }

// Content is the summary of a response for measurements and checks.
type Content struct {
	FullScope bool
	Records   int // number of records that the response contains or removes
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

// UnsupportedTypeError is returned when a request is for a resource type other than [TypeURL].
type UnsupportedTypeError struct{ TypeURL string }

// Error implements error. The URL comes from the wire, so it is quoted and truncated.
func (e *UnsupportedTypeError) Error() string {
	return fmt.Sprintf("resource type %.100q is not served, want %q", e.TypeURL, TypeURL)
}

// UnknownNonceError is returned when a request answers an update that was not sent or has already been answered.
type UnknownNonceError struct{ Nonce string }

// Error implements error. The nonce comes from the wire, so it is quoted and truncated.
func (e *UnknownNonceError) Error() string {
	return fmt.Sprintf("nonce %.100q is not that of an unanswered update", e.Nonce)
}
