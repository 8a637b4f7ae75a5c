package config

import (
	"slices"
	"time"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/records"
)

// minFollowerLease is the minimum lease of a follower: a lease must be longer than a pause of the process.
const minFollowerLease = 300 * time.Millisecond

// Follower holds the settings of a controller that follows a group without being a member.
type Follower struct {
	Members []string // addresses of the group's members
	Scope   records.Scope
	// Lease is the time without a heartbeat after which the follower is stale. It is at most the lease at the members: a
	// follower must not consider itself up to date for longer than the members do.
	Lease time.Duration
}

// readFollower reads the settings of a controller as a follower.
func (r *reader) readFollower(n *kdl.Node) *Follower {
	r.checkShape(n, 0)
	maxLease := configsync.DefaultLimits.Lease
	f := &Follower{Lease: maxLease}
	members := map[string]bool{}
	services := map[string]bool{}
	zones := map[string]bool{}
	r.readChildren(n, nodeReaders{
		"everything": func(n *kdl.Node) { f.Scope.All = r.readFlag(n) },
		"lease-ms": func(n *kdl.Node) {
			f.Lease = r.onlyMilliseconds(n, milliseconds(minFollowerLease), milliseconds(maxLease))
		},
	}, nodeReaders{
		"member":  func(n *kdl.Node) { r.readFollowerMember(n, f, members) },
		"service": func(n *kdl.Node) { r.readUniqueName(n, &f.Scope.Services, services) },
		"zone":    func(n *kdl.Node) { r.readUniqueName(n, &f.Scope.Zones, zones) },
	})
	r.checkRequired(n, requirement{"member", len(f.Members) == 0})
	if f.Scope.All && len(f.Scope.Services)+len(f.Scope.Zones) > 0 {
		r.faults.Add(n.Line, "%q must have either %q or services and zones, not both", n.Name, "everything")
	}
	return f
}

// readFollowerMember reads the address of a member of the followed group.
func (r *reader) readFollowerMember(n *kdl.Node, f *Follower, seen map[string]bool) {
	address := ""
	r.onlyAddress(n, &address)
	if seen[address] && address != "" {
		r.faults.Add(n.Line, "duplicate %s %q", n.Name, address)
		return
	}
	seen[address] = true
	f.Members = append(f.Members, address)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// checkRole adds a fault if a controller is both a member of a group and a follower. A follower that states no zones
// gets the zones of the controller.
func (r *reader) checkRole(top *kdl.Node, c *Controller) {
	if c.Follower == nil {
		return
	}
	if c.Group != nil {
		index := slices.IndexFunc(top.Children, func(n *kdl.Node) bool { return n.Name == "follow" })
		r.faults.Add(top.Children[index].Line, "a controller must be either a member of a group (%q) or a follower (%q), not both", "group", "follow")
	}
	if !c.Follower.Scope.All && len(c.Follower.Scope.Zones) == 0 {
		c.Follower.Scope.Zones = slices.Clone(c.Deployment.Zones)
	}
}
