package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/records"
	"harehook.dev/harehook/xds"
)

// minFollowerLease is the shortest lease that a follower may ask of itself: it has to outlast a pause of the process.
const minFollowerLease = 300 * time.Millisecond

// Follower is the part of a conductor that follows a group without being a member.
type Follower struct {
	Members []string // addresses of the group's members
	Scope   records.Scope
	// Lease is the time without a word of a member after which the conductor counts as stale. It is at most the
	// members': a follower must not think itself up to date for longer than they do.
	Lease time.Duration
}

// readFollower reads a conductor's part as a follower.
func (r *reader) readFollower(n *kdl.Node) *Follower {
	r.checkShape(n, 0)
	f := &Follower{Lease: configsync.DefaultLimits.Lease}
	members, services, zones := map[string]bool{}, map[string]bool{}, map[string]bool{}
	r.readChildren(n, nodeReaders{
		"everything": func(n *kdl.Node) { f.Scope.All = r.flag(n) },
		"lease-ms": func(n *kdl.Node) {
			f.Lease = r.onlyMilliseconds(n, milliseconds(minFollowerLease), milliseconds(configsync.DefaultLimits.Lease))
		},
	}, nodeReaders{
		"member":  func(n *kdl.Node) { r.readFollowerMember(n, f, members) },
		"service": func(n *kdl.Node) { r.readUniqueName(n, &f.Scope.Services, services) },
		"zone":    func(n *kdl.Node) { r.readUniqueName(n, &f.Scope.Zones, zones) },
	})
	r.checkRequired(n, requirement{"member", len(f.Members) == 0})
	if f.Scope.All && len(f.Scope.Services)+len(f.Scope.Zones) > 0 {
		r.faults.Add(n.Line, "%q takes either %q or services and zones", n.Name, "everything")
	}
	return f
}

// readFollowerMember reads the address of a member to follow.
func (r *reader) readFollowerMember(n *kdl.Node, f *Follower, seen map[string]bool) {
	address := ""
	r.onlyAddress(n, &address)
	if seen[address] && address != "" {
		r.faults.Add(n.Line, "%s %q is there twice", n.Name, address)
		return
	}
	seen[address] = true
	f.Members = append(f.Members, address)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// checkRole notes a conductor that would be both a member of a group and a follower, and gives a follower that states
// no zones those of its nodes.
func (r *reader) checkRole(top *kdl.Node, c *Controller) {
	if c.Follower == nil {
		return
	}
	if c.Group != nil {
		at := slices.IndexFunc(top.Children, func(n *kdl.Node) bool { return n.Name == "follow" })
		r.faults.Add(top.Children[at].Line, "a conductor is either a member of a group (%q) or follows one (%q)", "group", "follow")
	}
	if !c.Follower.Scope.All && len(c.Follower.Scope.Zones) == 0 {
		c.Follower.Scope.Zones = slices.Clone(c.Deployment.Zones)
	}
}

// AgreedFromFollower makes the routes and overrides of the records that a follower holds. Most of them may be tenants, which are
// passed over before anything is sorted.
func AgreedFromFollower(held map[records.Key]*records.Record) (*Agreed, error) {
	var list []*records.Record
	for key, record := range held {
		if key.Kind == records.KindRoute || key.Kind == records.KindOverride {
			list = append(list, record)
		}
	}
	slices.SortFunc(list, func(a, b *records.Record) int { return a.Key.Compare(b.Key) })
	agreed, err := AgreedFromRecords(list)
	if err != nil {
		return nil, err
	}
	return agreed, checkPrefixes(agreed.Routes)
}

// checkPrefixes says which of ordered routes is never reached: equal prefixes stand side by side.
func checkPrefixes(routes []xds.Route) error {
	for at := 1; at < len(routes); at++ {
		if before, route := routes[at-1], routes[at]; before.Prefix == route.Prefix {
			return fmt.Errorf("route %q is never reached: %q has its prefix %q", route.Name, before.Name, route.Prefix)
		}
	}
	return nil
}

// ValidateUpdate says why a follower can't use agreed records with what it knows. Records without a route are usable as long as
// no routes were agreed on before (was is nil or has none): conductors go by their own files until then. An override of
// a node that is not listed is no fault here: lists change, and such an override does nothing.
func (c *Controller) ValidateUpdate(agreed, was *Agreed, nodes []Node) error {
	var faults []string
	if len(agreed.Routes) > 0 || was != nil && len(was.Routes) > 0 {
		faults = c.routeFaults(agreed.Routes)
	}
	if len(nodes) > 0 && !agreed.leavesReadyNode(nodes) { // an empty list has not come yet
		faults = append(faults, noReadyNode)
	}
	return joinFaults(faults)
}

const noReadyNode = "it leaves no node that takes calls"

// routeFaults lists what would become of calls of this conductor's routes.
func (c *Controller) routeFaults(routes []xds.Route) (faults []string) {
	known := map[string]xds.Route{}
	for _, route := range c.Routes {
		known[route.Name] = route
	}
	for _, route := range routes {
		before, is := known[route.Name]
		if !is {
			faults = append(faults, fmt.Sprintf("route %q is not configured at conductor %q", route.Name, c.Name))
		} else if before.Mutating && !route.Mutating {
			faults = append(faults, fmt.Sprintf("route %q is configured as mutating: its calls would lose their protection from repeats", route.Name))
		}
		delete(known, route.Name)
	}
	for name := range known {
		faults = append(faults, fmt.Sprintf("route %q is missing: its calls would find no route", name))
	}
	return faults
}

// leavesReadyNode tells whether a listed node still takes calls under the overrides.
func (a *Agreed) leavesReadyNode(nodes []Node) bool {
	return slices.ContainsFunc(nodes, func(n Node) bool {
		_, over := a.Overrides[n.Node]
		return !over && n.State == planner.Ready
	})
}

// joinFaults makes one error of faults, nil of none.
func joinFaults(faults []string) error {
	if len(faults) == 0 {
		return nil
	}
	slices.Sort(faults)
	return errors.New(strings.Join(faults, "; "))
}
