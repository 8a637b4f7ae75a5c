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

// newTestCluster returns a cluster with some content.
func newTestCluster(t testing.TB, name string, content int) *Resource {
	r, err := NewResource(Clusters, name, &clusterv3.Cluster{Name: name, ConnectTimeout: durationpb.New(time.Duration(content))})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// streamScript is a stream, its target and a log with a line for each response.
type streamScript struct {
	t      *testing.T
	s      *Stream
	target *Snapshot
	names  map[string]string // the contents of versions, as in setTarget
	nonces []string
	strings.Builder
}

func newScript(t *testing.T, delta bool, contents ...string) *streamScript {
	c := &streamScript{t: t, s: NewStream(7, delta), names: map[string]string{}}
	c.setTarget(contents...)
	return c
}

// setTarget sets the target: "a1" is the cluster a with the content 1.
func (c *streamScript) setTarget(contents ...string) {
	set := ResourceSet{}
	for _, one := range contents {
		r := newTestCluster(c.t, one[:1], int(one[1]))
		set[r.Name], c.names[r.Version] = r, one
	}
	c.target = c.target.next([NumResourceTypes]ResourceSet{Clusters: set, Endpoints: {}, Listeners: {}, Routes: {}})
	c.s.SetTarget(c.target, false)
}

// next logs what is sent now.
func (c *streamScript) next() {
	state, delta := c.s.Next(1)
	if state != nil && delta != nil {
		c.t.Error("responses of both variants")
	}
	if state == nil && delta == nil {
		c.WriteString("nothing\n")
	}
	if state != nil {
		var got []string
		for _, body := range state.GetResources() {
			m, _ := body.UnmarshalNew()
			one, _ := NewResource(Clusters, m.(*clusterv3.Cluster).GetName(), m)
			got = append(got, c.names[one.Version])
		}
		fmt.Fprintf(c, "sent %v\n", got)
		c.nonces = append(c.nonces, state.GetNonce())
	}
	if delta != nil {
		var got []string
		for _, one := range delta.GetResources() {
			got = append(got, c.names[one.GetVersion()])
		}
		fmt.Fprintf(c, "sent %v removed %v\n", got, delta.GetRemovedResources())
		c.nonces = append(c.nonces, delta.GetNonce())
	}
}

// answer answers the response k before the last: by an ACK, or by a NACK if there is a reason.
func (c *streamScript) answer(k int, why string) {
	nonce := c.nonces[len(c.nonces)-1-k]
	var fault *status.Status
	if why != "" {
		fault = &status.Status{Message: why}
	}
	var err error
	if c.s.Delta {
		err = c.s.HandleDelta(1, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: Clusters.TypeURL(), ResponseNonce: nonce, ErrorDetail: fault})
	} else {
		err = c.s.HandleStateOfTheWorld(1, &discoveryv3.DiscoveryRequest{TypeUrl: Clusters.TypeURL(), ResponseNonce: nonce, ErrorDetail: fault})
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
	fmt.Fprintf(c, "accepted %v complete %t stale %d\n", accepted, c.s.Holds(Clusters, c.target.sequence[Clusters]), c.s.Unmatched)
}

// Each story is a sequence of requests, changes of the target and answers, with the responses that have to follow.
func TestStreamExchanges(t *testing.T) {
	for name, story := range map[string]struct {
		delta bool
		play  func(c *streamScript)
		want  string
	}{
		"accepted, then nothing": {false, func(c *streamScript) { c.subscribe(); c.next(); c.answer(0, ""); c.printAccepted(); c.next() },
			"sent [a1 b1]\naccepted [a1 b1] complete true stale 0\nnothing\n"},
		"one response at a time, the newest state next": {false, func(c *streamScript) {
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
		"a rejected version is not sent again, the next one is": {true, func(c *streamScript) {
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
		"one bad among good ones, delta": {true, func(c *streamScript) {
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
		"one bad among good ones, state of the world": {false, func(c *streamScript) {
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
		"back to the accepted version": {true, func(c *streamScript) {
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
		"a rejected version on a new stream": {true, func(c *streamScript) {
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
		"removed": {true, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.answer(0, "")
			c.setTarget("b1")
			c.next()
			c.answer(0, "")
			c.printAccepted()
		}, "sent [a1 b1] removed []\nsent [] removed [a]\naccepted [b1] complete true stale 0\n"},
		"a removal that is rejected is not repeated": {false, func(c *streamScript) {
			c.subscribe()
			c.next()
			c.answer(0, "")
			c.setTarget("b1")
			c.next()
			c.answer(0, "no")
			c.next()
			c.printAccepted()
		}, "sent [a1 b1]\nsent [b1]\nnothing\naccepted [a1 b1] complete false stale 0\n"},
		"named, then all, then named": {true, func(c *streamScript) {
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
		"what is not there is said once, and comes when it is": {true, func(c *streamScript) {
			c.subscribe("z")
			c.next()
			c.answer(0, "")
			c.next()
			c.setTarget("a1", "z1")
			c.next()
		}, "sent [] removed [z]\nnothing\nsent [z1] removed []\n"},
		"asked for again": {true, func(c *streamScript) {
			c.subscribe("a")
			c.next()
			c.answer(0, "")
			c.subscribe("a")
			c.next()
		}, "sent [a1] removed []\nsent [a1] removed []\n"},
		"removed while it is asked for": {true, func(c *streamScript) {
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
			c := newScript(t, story.delta, "a1", "b1")
			story.play(c)
			if diff := cmp.Diff(story.want, c.String()); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

// A sidecar that comes back and states the versions that it has is not sent these again, also not by a controller that
// restarted: the version is that of the content.
func TestStatedVersionsAreNotSentAgain(t *testing.T) {
	for _, delta := range []bool{true, false} {
		c := newScript(t, delta, "a1", "b1")
		versions := map[string]string{"a": newTestCluster(t, "a", '1').Version, "b": newTestCluster(t, "b", '0').Version, "gone": "x"}
		if delta {
			c.s.HandleDelta(1, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: Clusters.TypeURL(), InitialResourceVersions: versions})
		} else {
			c.s.HandleStateOfTheWorld(1, &discoveryv3.DiscoveryRequest{TypeUrl: Clusters.TypeURL(), VersionInfo: c.target.Sets[Clusters].Version()})
		}
		c.next()
		want := map[bool]string{true: "sent [b1] removed [gone]\n", false: "nothing\n"}[delta]
		if diff := cmp.Diff(want, c.String()); diff != "" {
			t.Errorf("delta %t, -want +got:\n%s", delta, diff)
		}
	}
}
