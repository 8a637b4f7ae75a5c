package xds

import (
	"errors"
	"fmt"
	"strings"
)

const (
	// maxTextBytes is the maximum length of a text received from a client; a longer one is truncated before it is stored
	// or shown.
	maxTextBytes = 500
	// maxNodeIDBytes is the maximum length of a sidecar's node id.
	maxNodeIDBytes = 500
)

// ErrNoNodeID is returned by [Server.Open] when the first request of a stream has no node id.
var ErrNoNodeID = errors.New("the first request has no node id")

// NodeIDTooLongError is returned by [Server.Open] when the node id in the first request of a stream is too long.
type NodeIDTooLongError struct{ Bytes int }

// Error implements error.
func (e *NodeIDTooLongError) Error() string {
	return fmt.Sprintf("node id must be at most %d bytes, got %d", maxNodeIDBytes, e.Bytes)
}

// TooManySidecarsError is returned by [Server.Open] when the maximum number of sidecars is connected.
type TooManySidecarsError struct{ Max int }

// Error implements error.
func (e *TooManySidecarsError) Error() string {
	return fmt.Sprintf("maximum of %d sidecars is connected; connect to another controller", e.Max)
}

// UnsupportedTypeError is returned when the type URL of a request is not that of a [ResourceType].
type UnsupportedTypeError struct{ TypeURL string }

// Error implements error.
func (e *UnsupportedTypeError) Error() string {
	return fmt.Sprintf("resource type %q is not served", truncateText(e.TypeURL))
}

// TooManyNamesError is returned when a subscription would have more resource names than a sidecar can need.
type TooManyNamesError struct{ Names int }

// Error implements error.
func (e *TooManyNamesError) Error() string {
	return fmt.Sprintf("subscription must have at most %d resource names, got %d", maxSubscribedNames, e.Names)
}

// truncateText truncates a text received from a client to maxTextBytes and replaces invalid UTF-8.
func truncateText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxTextBytes)], "?")
}
