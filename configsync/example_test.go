package configsync_test

import (
	"fmt"
	"time"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// routeSource is the record source of a member. It contains one route and no history.
type routeSource struct{ route *records.Record }

func (s routeSource) Revision() uint64 { return s.route.Revision }

func (s routeSource) InScope(records.Scope) records.View {
	return records.View{Revision: s.route.Revision, RoutingRevision: s.route.Revision, Records: []*records.Record{s.route}}
}

func (s routeSource) Since(uint64, records.Scope) records.Delta { return records.Delta{} }

func newRoute() *records.Record {
	key := records.Key{Kind: records.KindRoute, Name: "buy"}
	route, err := records.New(key, records.RouteSpec{Service: "shop", Prefix: "/buy", TimeLimitMS: 500})
	if err != nil {
		panic(err)
	}
	route.Revision = 7
	return route
}

// A follower connects to a member, receives the full scope and acknowledges it.
func Example() {
	now := time.Unix(0, 0)
	limits := configsync.DefaultLimits
	server := configsync.NewServer("member-1", routeSource{newRoute()}, limits, now)
	follower := configsync.NewFollower("controller-4", records.Scope{Services: []string{"shop"}}, limits.Lease, nil)

	stream, err := server.Open(now)
	if err != nil {
		fmt.Println(err)
		return
	}
	request := follower.Begin(now)
	for request != nil {
		if err := server.Receive(now, stream, request); err != nil {
			fmt.Println(err)
			return
		}
		request = nil
		for request == nil {
			response, _, err := stream.Send(now)
			if err != nil || response == nil {
				break // nothing is due
			}
			request, _, err = follower.Receive(response)
			if err != nil {
				fmt.Println(err)
				return
			}
		}
	}
	fmt.Println("revision", follower.Revision(), "records", len(follower.Records()), "stale", follower.Stale(now))
	// Output: revision 7 records 1 stale false
}

// Two of three members answered; the follower's lease is at the first one.
func ExampleMerge() {
	now := time.Unix(0, 0)
	lease := configsync.LeaseStatus{Name: "controller-4", Accepted: 6, Live: true, Expires: now.Add(time.Second)}
	statuses := []configsync.MemberStatus{
		{Member: "member-1", At: now, Revision: 7, Settled: true, Leases: []configsync.LeaseStatus{lease}},
		{Member: "member-2", At: now, Revision: 7, Settled: true},
	}
	convergence := configsync.Merge(statuses, []string{"member-1", "member-2", "member-3"})
	fmt.Println("newest", convergence.Revision, "converged", convergence.ConvergedRevision, "known", convergence.Known)
	for _, unknown := range convergence.UnknownMembers {
		fmt.Println(unknown.Member, unknown.Reason)
	}
	// Output:
	// newest 7 converged 6 known false
	// member-3 did not answer
}
