package xds

import (
	"fmt"
	"strings"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
)

// newTestCluster returns a cluster whose content depends on the given number.
func newTestCluster(t testing.TB, name string, content int) *Resource {
	r, err := NewResource(Clusters, name, &clusterv3.Cluster{Name: name, ConnectTimeout: durationpb.New(time.Duration(content))})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// streamScript runs a sequence of steps on a stream, and logs a line for each response in its builder.
type streamScript struct {
	t      *testing.T
	s      *Stream
	target *Snapshot
	names  map[string]string // by version: name and content, as in setTarget
	nonces []string
	strings.Builder
}

func newStreamScript(t *testing.T, delta bool, contents ...string) *streamScript {
	c := &streamScript{t: t, s: NewStream(7, delta), names: map[string]string{}}
	c.setTarget(contents...)
	return c
}

// setTarget sets the target to some clusters: "a1" is the cluster a with content 1.
func (c *streamScript) setTarget(contents ...string) {
	set := ResourceSet{}
	for _, content := range contents {
		r := newTestCluster(c.t, content[:1], int(content[1]))
		set[r.Name], c.names[r.Version] = r, content
	}
	c.target = c.target.next([NumResourceTypes]ResourceSet{Clusters: set, Endpoints: {}, Listeners: {}, Routes: {}})
	c.s.SetTarget(c.target, false)
}

// next logs the next response of the stream.
func (c *streamScript) next() {
	state, delta := c.s.Next(1)
	if state != nil && delta != nil {
		c.t.Error("got responses of both variants, want at most one response")
	}
	if state == nil && delta == nil {
		c.WriteString("nothing\n")
	}
	if state != nil {
		var got []string
		for _, body := range state.GetResources() {
			m, _ := body.UnmarshalNew()
			resource, _ := NewResource(Clusters, m.(*clusterv3.Cluster).GetName(), m)
			got = append(got, c.names[resource.Version])
		}
		fmt.Fprintf(c, "sent %v\n", got)
		c.nonces = append(c.nonces, state.GetNonce())
	}
	if delta != nil {
		var got []string
		for _, resource := range delta.GetResources() {
			got = append(got, c.names[resource.GetVersion()])
		}
		fmt.Fprintf(c, "sent %v removed %v\n", got, delta.GetRemovedResources())
		c.nonces = append(c.nonces, delta.GetNonce())
	}
}

// answer answers the k-th response before the last, with an ACK or, if there is a reason, with a NACK.
func (c *streamScript) answer(k int, reason string) {
	nonce := c.nonces[len(c.nonces)-1-k]
	var errorDetail *status.Status
	if reason != "" {
		errorDetail = &status.Status{Message: reason}
	}
	var err error
	if c.s.Delta {
		err = c.s.HandleDelta(1, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: Clusters.TypeURL(), ResponseNonce: nonce, ErrorDetail: errorDetail})
	} else {
		err = c.s.HandleStateOfTheWorld(1, &discoveryv3.DiscoveryRequest{TypeUrl: Clusters.TypeURL(), ResponseNonce: nonce, ErrorDetail: errorDetail})
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *streamScript) subscribe(names ...string) {
	if c.s.Delta {
		c.s.HandleDelta(1, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: Clusters.TypeURL(), ResourceNamesSubscribe: names})
	} else {
		c.s.HandleStateOfTheWorld(1, &discoveryv3.DiscoveryRequest{TypeUrl: Clusters.TypeURL(), ResourceNames: names})
	}
}

func (c *streamScript) unsubscribe(names ...string) {
	c.s.HandleDelta(1, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: Clusters.TypeURL(), ResourceNamesUnsubscribe: names})
}

func (c *streamScript) printAccepted() {
	var accepted []string
	for _, name := range sortedKeys(c.s.subscriptions[Clusters].accepted) {
		accepted = append(accepted, c.names[c.s.subscriptions[Clusters].accepted[name].Version])
	}
	fmt.Fprintf(c, "accepted %v complete %t stale %d\n", accepted, c.s.HasAccepted(Clusters, c.target.sequence[Clusters]), c.s.Unmatched)
}

// Each case is a sequence of requests, target changes and answers, with the responses and the state that must result.
func TestStreamExchanges(t *testing.T) {
	for name, test := range map[string]struct {
		delta bool
		run   func(c *streamScript)
		want  string
	}{
		"no response after an ACK": {false, func(c *streamScript) { c.subscribe(); c.next(); c.answer(0, ""); c.printAccepted(); c.next() },
			"sent [a1 b1]\naccepted [a1 b1] complete true stale 0\nnothing\n"},
		"only one pending response, followed by the newest state": {false, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.setTarget("a2", "b1")
			c.next()
			c.setTarget("a3", "b1")
			c.answer(0, "")
			c.printAccepted()
			c.next()
		}, "sent [a1 b1]\nnothing\naccepted [a1 b1] complete false stale 0\nsent [a3 b1]\n"},
		"a stale ACK after a newer response": {false, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.answer(0, "")
			c.setTarget("a2", "b1")
			c.next()
			c.answer(1, "")
			c.printAccepted()
			c.answer(0, "")
			c.printAccepted()
		}, "sent [a1 b1]\nsent [a2 b1]\naccepted [a1 b1] complete false stale 1\naccepted [a2 b1] complete true stale 1\n"},
		"a stale NACK after a newer response": {true, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.answer(0, "")
			c.setTarget("a2", "b1")
			c.next()
			c.answer(1, "late")
			c.answer(0, "")
			c.printAccepted()
		}, "sent [a1 b1] removed []\nsent [a2] removed []\naccepted [a2 b1] complete true stale 1\n"},
		"a rejected version is not sent again, but the next one is": {true, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.answer(0, "")
			c.setTarget("a2", "b1")
			c.next()
			c.answer(0, "bad")
			c.next()
			c.printAccepted()
			c.setTarget("a2", "b2")
			c.next()
			c.answer(0, "")
			c.setTarget("a3", "b2")
			c.next()
			c.answer(0, "")
			c.printAccepted()
		}, "sent [a1 b1] removed []\nsent [a2] removed []\nnothing\naccepted [a1 b1] complete false stale 0\nsent [b2] removed []\nsent [a3] removed []\naccepted [a3 b2] complete true stale 0\n"},
		"one invalid resource among valid ones, delta": {true, func(c *streamScript) {
			c.setTarget("a1", "b1", "c1")
			c.subscribe()
			c.next()
			c.answer(0, "bad")
			for range 3 {
				c.next()
				c.answer(0, map[bool]string{true: "bad"}[strings.HasSuffix(c.String(), "sent [b1] removed []\n")])
			}
			c.next()
			c.printAccepted()
		}, "sent [a1 b1 c1] removed []\nsent [a1] removed []\nsent [b1] removed []\nsent [c1] removed []\nnothing\naccepted [a1 c1] complete false stale 0\n"},
		"one invalid resource among valid ones, state of the world": {false, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.answer(0, "")
			c.setTarget("a2", "b2")
			c.next()
			c.answer(0, "bad")
			c.next()
			c.answer(0, "bad")
			c.next()
			c.answer(0, "")
			c.next()
			c.printAccepted()
		}, "sent [a1 b1]\nsent [a2 b2]\nsent [a2 b1]\nsent [a1 b2]\nnothing\naccepted [a1 b2] complete false stale 0\n"},
		"the target returns to the accepted version": {true, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.answer(0, "")
			c.setTarget("a2", "b1")
			c.next()
			c.answer(0, "bad")
			c.setTarget("a1", "b1")
			c.next()
			c.printAccepted()
		}, "sent [a1 b1] removed []\nsent [a2] removed []\nnothing\naccepted [a1 b1] complete true stale 0\n"},
		"a rejected version is sent again on a new stream": {true, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.answer(0, "")
			c.setTarget("a2", "b1")
			c.next()
			c.answer(0, "bad")
			c.next()
			c.s = NewStream(8, true)
			c.s.SetTarget(c.target, false)
			c.subscribe()
			c.next()
		}, "sent [a1 b1] removed []\nsent [a2] removed []\nnothing\nsent [a2 b1] removed []\n"},
		"a removed resource": {true, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.answer(0, "")
			c.setTarget("b1")
			c.next()
			c.answer(0, "")
			c.printAccepted()
		}, "sent [a1 b1] removed []\nsent [] removed [a]\naccepted [b1] complete true stale 0\n"},
		"a rejected removal is not sent again": {false, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.answer(0, "")
			c.setTarget("b1")
			c.next()
			c.answer(0, "no")
			c.next()
			c.printAccepted()
		}, "sent [a1 b1]\nsent [b1]\nnothing\naccepted [a1 b1] complete false stale 0\n"},
		"names, then a wildcard, then names again": {true, func(c *streamScript) {
			c.subscribe("a")
			c.next()
			c.answer(0, "")
			c.subscribe("*")
			c.next()
			c.answer(0, "")
			c.printAccepted()
			c.unsubscribe("*")
			c.printAccepted()
			c.next()
		}, "sent [a1] removed []\nsent [b1] removed []\naccepted [a1 b1] complete true stale 0\naccepted [a1] complete true stale 0\nnothing\n"},
		"a missing resource is reported once and sent when it exists": {true, func(c *streamScript) {
			c.subscribe("z")
			c.next()
			c.answer(0, "")
			c.next()
			c.setTarget("a1", "z1")
			c.next()
		}, "sent [] removed [z]\nnothing\nsent [z1] removed []\n"},
		"a resource is sent again after a new subscription": {true, func(c *streamScript) {
			c.subscribe("a")
			c.next()
			c.answer(0, "")
			c.subscribe("a")
			c.next()
		}, "sent [a1] removed []\nsent [a1] removed []\n"},
		"a resource is removed from the target while its response is pending": {true, func(c *streamScript) {
			c.subscribe("a")
			c.next()
			c.setTarget("b1")
			c.subscribe("b")
			c.answer(0, "")
			c.next()
			c.answer(0, "")
			c.printAccepted()
		}, "sent [a1] removed []\nsent [b1] removed [a]\naccepted [b1] complete true stale 0\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newStreamScript(t, test.delta, "a1", "b1")
			test.run(c)
			if diff := cmp.Diff(test.want, c.String()); diff != "" {
				t.Errorf("exchange (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against needless responses after a reconnect: a sidecar that states the versions it has accepted does not
// receive them again, even from a restarted controller, because versions are hashes of the content.
func TestStatedVersionsAreNotSentAgain(t *testing.T) {
	for _, delta := range []bool{true, false} {
		c := newStreamScript(t, delta, "a1", "b1")
		versions := map[string]string{"a": newTestCluster(t, "a", '1').Version, "b": newTestCluster(t, "b", '0').Version, "gone": "x"}
		if delta {
			c.s.HandleDelta(1, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: Clusters.TypeURL(), InitialResourceVersions: versions})
		} else {
			c.s.HandleStateOfTheWorld(1, &discoveryv3.DiscoveryRequest{TypeUrl: Clusters.TypeURL(), VersionInfo: c.target.Sets[Clusters].Version()})
		}
		c.next()
		want := map[bool]string{true: "sent [b1] removed [gone]\n", false: "nothing\n"}[delta]
		if diff := cmp.Diff(want, c.String()); diff != "" {
			t.Errorf("delta %t: responses (-want +got):\n%s", delta, diff)
		}
	}
}
