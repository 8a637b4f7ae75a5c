package xds

import (
	"errors"
	"strings"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// Each kind of invalid request returns an error of its own type with the invalid value, so that callers can distinguish
// them.
func TestErrorsOfInvalidRequests(t *testing.T) {
	newServer := func(t *testing.T) *Server {
		t.Helper()
		compiler := NewCompiler([]Route{{Name: "q", Prefix: "/"}}, time.Second)
		server := NewServer(compiler, &countingSink{responses: map[string]int{}}, 1)
		if err := server.Open(0, 1, true, "connected", "z"); err != nil {
			t.Fatal(err)
		}
		return server
	}
	tooManyNames := make([]string, maxSubscribedNames+1)
	for name, test := range map[string]struct {
		request func(s *Server) error
		matches func(err error) bool
	}{
		"no node id": {
			func(s *Server) error { return s.Open(1, 2, true, "", "z") },
			func(err error) bool { return errors.Is(err, ErrNoNodeID) },
		},
		"long node id": {
			func(s *Server) error { return s.Open(1, 2, true, strings.Repeat("x", maxNodeIDBytes+1), "z") },
			func(err error) bool {
				var tooLong *NodeIDTooLongError
				return errors.As(err, &tooLong) && tooLong.Bytes == maxNodeIDBytes+1
			},
		},
		"one sidecar too many": {
			func(s *Server) error { return s.Open(1, 2, true, "other", "z") },
			func(err error) bool {
				var tooManySidecars *TooManySidecarsError
				return errors.As(err, &tooManySidecars) && tooManySidecars.Max == 1
			},
		},
		"unsupported type": {
			func(s *Server) error {
				return s.HandleDelta(1, 1, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: "other"})
			},
			func(err error) bool {
				var unsupportedType *UnsupportedTypeError
				return errors.As(err, &unsupportedType) && unsupportedType.TypeURL == "other"
			},
		},
		"too many names": {
			func(s *Server) error {
				return s.HandleDelta(1, 1, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: Clusters.TypeURL(), ResourceNamesSubscribe: tooManyNames})
			},
			func(err error) bool {
				var tooMany *TooManyNamesError
				return errors.As(err, &tooMany) && tooMany.Names == len(tooManyNames)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if err := test.request(newServer(t)); !test.matches(err) {
				t.Errorf("got %T: %v, want the typed error of %q", err, err, name)
			}
		})
	}
}
