package sidecar

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/xds"
)

// compiledSnapshot returns the snapshot that a controller sends for a table of two nodes. Node a has weight 1, node b
// the given weight.
func compiledSnapshot(t testing.TB, weight float64) *xds.Snapshot {
	compiler := xds.NewCompiler([]xds.Route{{Name: "quote", Prefix: "/quote", TimeLimit: time.Second},
		{Name: "issue", Prefix: "/issue", Mutating: true, TimeLimit: time.Second}}, time.Second)
	compiler.SetAddress("a", "north", xds.Address{Host: "127.0.0.1", Port: 1})
	compiler.SetAddress("b", "south", xds.Address{Host: "127.0.0.1", Port: 2})
	compiler.ApplyCommands([]controller.Command{{Kind: controller.SetWeight, Node: "a", Value: 1}, {Kind: controller.SetWeight, Node: "b", Value: weight},
		{Kind: controller.SetAdmission, Table: planner.AllTables, Route: "quote", Value: 0.25, Retry: planner.RetryIfNotSent},
		{Kind: controller.SetAdmission, Table: planner.AllTables, Route: "issue", Value: 0.25, Retry: planner.RetryIfNotSent}})
	snapshot, err := compiler.Snapshot(0)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// acceptSnapshot passes a snapshot to a cache and returns the reason of the first NACK, or an empty string.
func acceptSnapshot(cache *ResourceCache, snapshot *xds.Snapshot) string {
	for resourceType := range xds.NumResourceTypes {
		response := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: resourceType.TypeURL(), Nonce: "n"}
		for _, resource := range snapshot.Sets[resourceType] {
			response.Resources = append(response.Resources, &discoveryv3.Resource{Name: resource.Name, Version: resource.Version, Resource: resource.Body})
		}
		requests, err := cache.HandleDelta(response)
		if err != nil {
			return err.Error()
		}
		if reason := requests[0].GetErrorDetail().GetMessage(); reason != "" {
			return reason
		}
	}
	return ""
}

// newFilledCache returns a cache that has accepted compiledSnapshot(t, weight).
func newFilledCache(t testing.TB, weight float64) *ResourceCache {
	t.Helper()
	cache := &ResourceCache{ID: "till", Zone: "north"}
	cache.BeginDelta()
	if reason := acceptSnapshot(cache, compiledSnapshot(t, weight)); reason != "" {
		t.Fatal(reason)
	}
	return cache
}

// Requests must be split by an entry's fraction and a cluster's weights, and a retry must select another node.
func TestRoutingTableSplitsByFractionAndWeight(t *testing.T) {
	cache := newFilledCache(t, 3)
	table, random := cache.Table(), Random{Seed: 5}
	requests, throttled := map[string]int{}, 0
	for range 4000 {
		entry := table.Route("/issue/7", random.Next)
		if entry.Status != 0 {
			throttled++
			continue
		}
		node, ok := table.Pick(entry.Cluster, nil, random.Next)
		if !ok || entry.MaxRetries != 1 || !entry.Mutating {
			t.Fatalf("got node %v (found: %t) and entry %+v, want a node and a mutating entry with 1 retry", node, ok, entry)
		}
		requests[node.Node]++
	}
	if throttled < 2850 || throttled > 3150 {
		t.Errorf("rejected requests: got %d of 4000, want 2850 to 3150", throttled)
	}
	if fraction := float64(requests["b"]) / float64(requests["a"]+requests["b"]); fraction < 0.7 || fraction > 0.8 {
		t.Errorf("fraction of node b: got %.2f, want 0.7 to 0.8", fraction)
	}
	if node, ok := table.Pick("pool-0", []xds.Address{{Host: "127.0.0.1", Port: 1}}, random.Next); !ok || node.Node != "b" {
		t.Errorf("node a was tried: got %v (found: %t), want b", node, ok)
	}
	if _, ok := table.Pick("pool-0", []xds.Address{{Host: "127.0.0.1", Port: 1}, {Host: "127.0.0.1", Port: 2}}, random.Next); ok {
		t.Error("both nodes were tried: got a node, want none")
	}
	if entry := table.Route("/other", random.Next); entry != nil {
		t.Errorf("path /other: got entry %s, want none", entry.Name)
	}
}

// A table must be accepted with the maximum number of routes of a configuration, also if each route is throttled and
// has two entries. Tables with more routes or more entries must be rejected.
func TestMaxRoutesPerTable(t *testing.T) {
	rejectionReason := func(count int, throttled bool) string {
		compiler := xds.NewCompiler([]xds.Route{{Name: "first", Prefix: "/first", TimeLimit: time.Second}}, time.Second)
		compiler.SetAddress("a", "north", xds.Address{Host: "127.0.0.1", Port: 1})
		compiler.ApplyCommands([]controller.Command{{Kind: controller.SetWeight, Node: "a", Value: 1}})
		var routes []xds.Route
		for index := range count {
			name := fmt.Sprintf("route-%04d", index)
			routes = append(routes, xds.Route{Name: name, Prefix: "/" + name, TimeLimit: time.Second})
			if throttled {
				compiler.ApplyCommands([]controller.Command{{Kind: controller.SetAdmission, Table: planner.AllTables, Route: name, Value: 0.25}})
			}
		}
		compiler.SetAgreedRoutes(0, routes)
		snapshot, err := compiler.Snapshot(0)
		if err != nil {
			t.Fatal(err)
		}
		if size := len(snapshot.Sets[xds.Routes][xds.RoutesName].Body.GetValue()); size > 1<<20 {
			t.Errorf("%d routes, throttled %t: got %d bytes, want at most %d", count, throttled, size, 1<<20)
		}
		return acceptSnapshot(&ResourceCache{ID: "s", Zone: "north"}, snapshot)
	}
	for _, throttled := range []bool{false, true} {
		if reason := rejectionReason(xds.MaxRoutes, throttled); reason != "" {
			t.Errorf("maximum number of routes, throttled %t: got %q, want no error", throttled, reason)
		}
		if reason := rejectionReason(xds.MaxRoutes+1, throttled); !strings.Contains(reason, "more than 1024 routes") {
			t.Errorf("one route too many, throttled %t: got %q, want an error with \"more than 1024 routes\"", throttled, reason)
		}
	}
	host := &routev3.VirtualHost{}
	for range xds.EntriesPerRoute*xds.MaxRoutes + 1 {
		host.Routes = append(host.Routes, &routev3.Route{Name: "same", Match: &routev3.RouteMatch{
			PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: "/same"}},
			Action: &routev3.Route_DirectResponse{DirectResponse: &routev3.DirectResponseAction{Status: 503}}})
	}
	for entries, want := range map[int]string{xds.EntriesPerRoute * xds.MaxRoutes: "", len(host.Routes): "more than 2048 entries"} {
		table := &routev3.RouteConfiguration{VirtualHosts: []*routev3.VirtualHost{{Routes: host.Routes[:entries]}}}
		if _, err := (&ResourceCache{}).parseRoutes(table); want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%d entries: got error %v, want %q", entries, err, want)
		}
	}
}

// Each invalid resource must be rejected with a reason that names the fault, and the accepted versions must not change.
func TestResourceCacheRejections(t *testing.T) {
	locality := func(port uint32, weight *wrapperspb.UInt32Value) *endpointv3.LocalityLbEndpoints {
		snapshot := compiledSnapshot(t, 1)
		var m endpointv3.ClusterLoadAssignment
		proto.Unmarshal(snapshot.Sets[xds.Endpoints]["pool-0"].Body.GetValue(), &m)
		endpoints := m.GetEndpoints()[0]
		endpoints.GetLbEndpoints()[0].GetEndpoint().GetAddress().GetSocketAddress().GetPortSpecifier()
		endpoints.GetLbEndpoints()[0].LoadBalancingWeight = weight
		if port == 0 {
			endpoints.GetLbEndpoints()[0].GetEndpoint().Address = nil
		}
		return endpoints
	}
	routesWith := func(change func(r *routev3.Route)) proto.Message {
		var m routev3.RouteConfiguration
		proto.Unmarshal(compiledSnapshot(t, 1).Sets[xds.Routes][xds.RoutesName].Body.GetValue(), &m)
		for _, r := range m.GetVirtualHosts()[0].GetRoutes() {
			if r.GetName() == "issue" && r.GetRoute() != nil {
				change(r)
			}
		}
		return &m
	}
	for name, test := range map[string]struct {
		resourceType xds.ResourceType
		message      proto.Message
		want         string
	}{
		"cluster not of type EDS":  {xds.Clusters, &clusterv3.Cluster{Name: "x"}, "only EDS is supported"},
		"cluster without name":     {xds.Clusters, &clusterv3.Cluster{ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS}}, "name must not be empty"},
		"endpoint without address": {xds.Endpoints, &endpointv3.ClusterLoadAssignment{ClusterName: "pool-0", Endpoints: []*endpointv3.LocalityLbEndpoints{locality(0, nil)}}, `endpoint "a" must have an address with a host and a valid port`},
		"endpoint with weight 0":   {xds.Endpoints, &endpointv3.ClusterLoadAssignment{ClusterName: "pool-0", Endpoints: []*endpointv3.LocalityLbEndpoints{locality(1, wrapperspb.UInt32(0))}}, "weight of endpoint 127.0.0.1:1 must be greater than 0"},
		"duplicate endpoint":       {xds.Endpoints, &endpointv3.ClusterLoadAssignment{ClusterName: "pool-0", Endpoints: []*endpointv3.LocalityLbEndpoints{locality(1, nil), locality(1, nil)}}, "duplicate endpoint 127.0.0.1:1"},
		"unsafe retry of mutating route": {xds.Routes, routesWith(func(r *routev3.Route) { r.GetRoute().RetryPolicy.RetryOn = "connect-failure,5xx" }),
			`route "issue" is mutating and must not be retried on "5xx"`},
		"unsafe retry of route without metadata": {xds.Routes, routesWith(func(r *routev3.Route) { r.Metadata = nil; r.GetRoute().RetryPolicy.RetryOn = "reset" }),
			`route "issue" is mutating`},
		"too many retries": {xds.Routes, routesWith(func(r *routev3.Route) { r.GetRoute().RetryPolicy.NumRetries = wrapperspb.UInt32(9) }), `retries of route "issue" must be at most 3, got 9`},
		"unknown cluster": {xds.Routes, routesWith(func(r *routev3.Route) {
			r.GetRoute().ClusterSpecifier = &routev3.RouteAction_Cluster{Cluster: "pool-9"}
		}), `cluster "pool-9", which is not accepted`},
		"fraction above 1":     {xds.Routes, routesWith(func(r *routev3.Route) { r.GetMatch().GetRuntimeFraction().GetDefaultValue().Numerator = 2000000 }), `fraction of route "issue" must be at most 1, got 2`},
		"route without prefix": {xds.Routes, routesWith(func(r *routev3.Route) { r.Match = &routev3.RouteMatch{} }), `path prefix of route "issue" must start with "/", got ""`},
		"no routes":            {xds.Routes, &routev3.RouteConfiguration{Name: "calls"}, "route configuration has no routes"},
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFilledCache(t, 1)
			versionsBefore := cache.Table().Versions
			body, _ := proto.Marshal(test.message)
			requests, err := cache.HandleDelta(&discoveryv3.DeltaDiscoveryResponse{TypeUrl: test.resourceType.TypeURL(), Nonce: "m", Resources: []*discoveryv3.Resource{
				{Name: "x", Version: "v", Resource: &anypb.Any{TypeUrl: test.resourceType.TypeURL(), Value: body}}}})
			if err != nil || !strings.Contains(requests[0].GetErrorDetail().GetMessage(), test.want) {
				t.Errorf("got error %v and reason %q, want reason %q", err, requests[0].GetErrorDetail().GetMessage(), test.want)
			}
			if diff := cmp.Diff(versionsBefore, cache.Table().Versions); diff != "" {
				t.Errorf("accepted versions changed (-want +got):\n%s", diff)
			}
		})
	}
}

// A crash at any step of a write must leave a complete file with either the old or the new versions.
func TestStoreSurvivesCrashAtEachStep(t *testing.T) {
	for _, step := range []string{"create", "write", "sync", "rename", "sync folder", ""} {
		path := filepath.Join(t.TempDir(), "held")
		before, after := newFilledCache(t, 1), newFilledCache(t, 2)
		if err := (&Store{Path: path}).Save(before); err != nil {
			t.Fatal(err)
		}
		store := &Store{Path: path, Step: func(name string) error {
			if name == step {
				return errors.New("crash")
			}
			return nil
		}}
		if err := store.Save(after); (err == nil) != (step == "") {
			t.Errorf("crash at step %q: got error %v", step, err)
		}
		restored := &ResourceCache{ID: "till"}
		if err := (&Store{Path: path}).Load(restored); err != nil {
			t.Fatalf("load after a crash at step %q: %v", step, err)
		}
		want := before
		if step == "" || step == "sync folder" {
			want = after
		}
		if diff := cmp.Diff(want.Table().Versions, restored.Table().Versions); diff != "" {
			t.Errorf("versions after a crash at step %q (-want +got):\n%s", step, diff)
		}
	}
}

// A store file that is truncated at any byte, or that has a flipped bit, must not be used.
func TestDamagedStoreIsNotUsed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held")
	cache := newFilledCache(t, 1)
	if err := (&Store{Path: path}).Save(cache); err != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	load := func(content []byte) error {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		restored := &ResourceCache{ID: "till"}
		err := (&Store{Path: path}).Load(restored)
		if err != nil && len(restored.Table().Routes) > 0 {
			t.Error("routes were loaded from a damaged file, want none")
		}
		return err
	}
	for offset := range complete {
		if err := load(complete[:offset]); !errors.Is(err, ErrStoreFormat) && !errors.Is(err, ErrStoreTruncated) {
			t.Fatalf("truncated to %d bytes: got error %v, want ErrStoreFormat or ErrStoreTruncated", offset, err)
		}
		flipped := append([]byte(nil), complete...)
		flipped[offset] ^= 1 << (offset % 8)
		if load(flipped) == nil {
			t.Fatalf("bit flipped in byte %d: got no error", offset)
		}
	}
	if err := load(complete); err != nil {
		t.Errorf("undamaged file: %v", err)
	}
}

// After a restart the first requests must state the accepted versions, so that a controller does not send them again.
// This test covers the delta variant.
func TestRestoredCacheStatesAcceptedVersions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held")
	cache := newFilledCache(t, 1)
	if err := (&Store{Path: path}).Save(cache); err != nil {
		t.Fatal(err)
	}
	restored := &ResourceCache{ID: "till", Delta: true}
	if err := (&Store{Path: path}).Load(restored); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range restored.BeginDelta() {
		resourceType, _ := xds.ParseTypeURL(r.GetTypeUrl())
		got = append(got, fmt.Sprintf("%s %d%v", resourceType, len(r.GetInitialResourceVersions()), r.GetResourceNamesSubscribe()))
	}
	want := []string{"cluster 1[]", "endpoints 1[pool-0]", "listener 1[calls]", "routes 1[calls]"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("first requests (-want +got):\n%s", diff)
	}
}
