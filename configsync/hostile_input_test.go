package configsync

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"harehook.dev/harehook/records"
)

// A member rejects streams beyond its maximum number.
func TestStreamCountIsBounded(t *testing.T) {
	member := newTestMember(t)
	for range testLimits.MaxStreams {
		if _, err := member.server.Open(at(0)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := member.server.Open(at(0)); !errors.Is(err, ErrTooManyStreams) {
		t.Errorf("stream %d: got error %v, want %v", testLimits.MaxStreams+1, err, ErrTooManyStreams)
	}
}

// The reason of a NACK is truncated at a character boundary.
func TestRejectionReasonIsTruncated(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, nil)
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, func(uint64, map[records.Key]*records.Record) error {
		return errors.New("x" + strings.Repeat("ü", maxReasonBytes))
	})
	connect(t, member.server, f, at(0)).deliverAll(at(0))
	reason := member.server.Status(at(0)).Leases[0].Reason
	if len(reason) != maxReasonBytes-1 || strings.Trim(reason, "ü") != "x" {
		t.Errorf("got reason %q of %d bytes, want x and a number of ü in %d bytes", reason, len(reason), maxReasonBytes-1)
	}
}

// An answer to an update that was not sent or has already been answered ends the stream.
func TestUnknownNonceEndsStream(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, nil)
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(0))
	update := c.nextUpdate(at(0))
	reply, _, err := f.Receive(update)
	if err != nil {
		t.Fatal(err)
	}
	c.request(at(0), reply)
	err = member.server.Receive(at(0), c.stream, reply)
	var unknownNonce *UnknownNonceError
	if !errors.As(err, &unknownNonce) || unknownNonce.Nonce != reply.GetResponseNonce() {
		t.Errorf("second answer with nonce %q: got error %v, want an UnknownNonceError", reply.GetResponseNonce(), err)
	}
	reply.TypeUrl = "other"
	err = member.server.Receive(at(0), c.stream, reply)
	var unsupportedType *UnsupportedTypeError
	if !errors.As(err, &unsupportedType) || unsupportedType.TypeURL != "other" {
		t.Errorf("resource type %q: got error %v, want an UnsupportedTypeError", "other", err)
	}
}

// The first request of a stream is untrusted: names that cannot be shown and scopes that are too large are rejected.
func TestHandshakeRejectsHostileInput(t *testing.T) {
	many := make([]string, maxScopeNames+1)
	for n := range many {
		many[n] = fmt.Sprint("s", n)
	}
	for name, handshake := range map[string]Handshake{
		"no name":           {},
		"long name":         {Name: strings.Repeat("x", maxNameBytes+1)},
		"control character": {Name: "a\x1b[2J"},
		"many services":     {Name: "f", Scope: records.Scope{Services: many}},
		"many zones":        {Name: "f", Scope: records.Scope{Zones: many}},
		"empty service":     {Name: "f", Scope: records.Scope{Services: []string{""}}},
		"long zone":         {Name: "f", Scope: records.Scope{Zones: []string{strings.Repeat("x", maxNameBytes+1)}}},
	} {
		t.Run(name, func(t *testing.T) {
			member := newTestMember(t)
			stream, err := member.server.Open(at(0))
			if err != nil {
				t.Fatal(err)
			}
			if err := member.server.Receive(at(0), stream, handshake.request()); err == nil {
				t.Error("got no error for the handshake, want it rejected")
			}
			if len(member.server.leases.leases) != 0 || len(member.server.byName) != 0 {
				t.Errorf("got %d leases and %d streams by name, want none", len(member.server.leases.leases), len(member.server.byName))
			}
		})
	}
	member := newTestMember(t)
	stream, _ := member.server.Open(at(0))
	repeated := Handshake{Name: "f", Scope: records.Scope{Services: []string{"b", "a", "b"}}, Revision: 1<<64 - 1}
	if err := member.server.Receive(at(0), stream, repeated.request()); err != nil {
		t.Fatal(err)
	}
	if got := stream.handshake.Scope.Services; len(got) != 2 || got[0] != "a" {
		t.Errorf("services b, a, b: got %v, want them sorted without duplicates", got)
	}
}
