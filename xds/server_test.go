package xds

import (
	"fmt"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/google/go-cmp/cmp"

	"harehook.dev/harehook/controller"
)

// Guards against exhaustion of the numbers by sidecars that use another id after each restart: if no number is left, a
// new sidecar gets that of the sidecar that has been disconnected for the longest time, and never that of a connected
// one.
func TestSidecarNumbersAreReused(t *testing.T) {
	s := NewServer(NewCompiler([]Route{{Name: "q", Prefix: "/"}}, time.Second), &countingSink{responses: map[string]int{}}, 3)
	stream := uint64(0)
	var got []string
	join := func(now float64, id string) uint64 {
		stream++
		if err := s.Open(now, stream, true, id, "z"); err != nil {
			got = append(got, id+" rejected")
			return 0
		}
		number, _ := s.Number(id)
		got = append(got, fmt.Sprint(id, number))
		return stream
	}
	a, b := join(1, "a"), join(2, "b")
	join(3, "c")
	join(4, "d")
	s.Close(5, b)
	s.Close(6, a)
	join(7, "e")
	join(8, "a")
	join(9, "b")
	if _, known := s.Number("b"); known {
		got = append(got, "b known")
	}
	want := []string{"a0", "b1", "c2", "d rejected", "e1", "a0", "b rejected"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sidecar numbers (-want +got):\n%s", diff)
	}
	if n := len(s.Sidecars(10)); n != 3 {
		t.Errorf("got %d known sidecars, want 3", n)
	}
}

// No sequence of client requests may make a server panic or send responses without end.
func FuzzServer(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3}, "7-0-1", "x")
	f.Add([]byte{9, 9, 0, 4, 4, 1}, "", "*")
	f.Fuzz(func(t *testing.T, operations []byte, nonce, name string) {
		sink := &countingSink{responses: map[string]int{}}
		compiler := NewCompiler([]Route{{Name: "q", Prefix: "/"}}, time.Second)
		compiler.SetAddress("n", "z", Address{"127.0.0.1", 1})
		s := NewServer(compiler, sink, 4)
		for step, operation := range operations[:min(len(operations), 200)] {
			stream, resourceType := uint64(operation%3), ResourceType(operation/3%4)
			node := &corev3.Node{Id: fmt.Sprint(operation % 5)}
			if !s.Connected(stream) && s.Open(float64(step), stream, stream == 1, node.GetId(), "z") != nil {
				continue
			}
			if operation > 200 {
				s.ApplyCommands(float64(step), []controller.Command{{Kind: controller.SetWeight, Table: int(operation % 2), Node: "n", Value: float64(operation)},
					{Kind: controller.BindProxy, Proxy: int(operation % 4), Table: int(operation % 2)}, {Kind: controller.RequestAck, Nonce: step}})
			}
			if operation%7 == 0 {
				nonce = sink.lastNonce
			}
			if stream == 1 {
				s.HandleDelta(float64(step), stream, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: resourceType.TypeURL(), ResponseNonce: nonce,
					ResourceNamesSubscribe: []string{name}, ResourceNamesUnsubscribe: []string{name}[:operation%2]})
			} else {
				s.HandleStateOfTheWorld(float64(step), stream, &discoveryv3.DiscoveryRequest{TypeUrl: resourceType.TypeURL(), ResponseNonce: nonce,
					ResourceNames: []string{name}[:operation%2]})
			}
			for id, c := range s.streams {
				for resourceType, sub := range c.stream.subscriptions {
					if n := sink.responses[fmt.Sprint(id, typeURLs[resourceType])]; sub.pending == nil && n > 1000 {
						t.Fatalf("got %d responses on one stream for %s, want at most 1000", n, ResourceType(resourceType))
					}
				}
			}
		}
		s.Sidecars(1)
	})
}

type countingSink struct {
	responses map[string]int
	lastNonce string
}

func (c *countingSink) Send(id uint64, r *discoveryv3.DiscoveryResponse) {
	c.responses[fmt.Sprint(id, r.GetTypeUrl())]++
	c.lastNonce = r.GetNonce()
}

func (c *countingSink) SendDelta(id uint64, r *discoveryv3.DeltaDiscoveryResponse) {
	c.responses[fmt.Sprint(id, r.GetTypeUrl())]++
	c.lastNonce = r.GetNonce()
}

func (c *countingSink) CloseStream(uint64, string) {}

func (c *countingSink) Joined(int, string) {}

func (c *countingSink) Left(int) {}

func (c *countingSink) Acknowledged(int, int) {}

func (c *countingSink) Rejected(string, ResourceType, string) {}
