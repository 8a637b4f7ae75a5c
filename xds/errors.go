package xds

import (
	"errors"
	"fmt"
	"strings"
)

const (
	// maxReasonBytes is the part of a text from the wire that is retained or shown.
	maxReasonBytes = 500
	// maxNodeIDBytes is the longest node id of a sidecar.
	maxNodeIDBytes = 500
)

// ErrNoNodeID says that a stream's first request names no node; [Server.Open] returns it.
var ErrNoNodeID = errors.New("the first request names no node id")

// NodeIDTooLongError says that a stream's first request names a node whose id is too long; [Server.Open] returns it.
type NodeIDTooLongError struct{ Bytes int }

// Error implements error.
func (e *NodeIDTooLongError) Error() string { return fmt.Sprintf("a node id of %d bytes", e.Bytes) }

// TooManySidecarsError says that all sidecars that may join are connected; [Server.Open] returns it.
type TooManySidecarsError struct{ Max int }

// Error implements error.
func (e *TooManySidecarsError) Error() string {
	return fmt.Sprintf("%d sidecars are known, and no more may join", e.Max)
}

// UnsupportedTypeError says that a request is for a type that is no [ResourceType].
type UnsupportedTypeError struct{ TypeURL string }

// Error implements error.
func (e *UnsupportedTypeError) Error() string {
	return fmt.Sprintf("type %q is not served", truncateReason(e.TypeURL))
}

// TooManyNamesError says that a subscription would have more names than a sidecar has use for.
type TooManyNamesError struct{ Names int }

// Error implements error.
func (e *TooManyNamesError) Error() string {
	return fmt.Sprintf("%d names, %d at most", e.Names, maxSubscribedNames)
}

// truncateReason returns the part of a text from the wire that is shown, as valid UTF-8.
func truncateReason(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxReasonBytes)], "?")
}
