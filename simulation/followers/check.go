package followers

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// maxViolations is after how many of them a run ends.
const maxViolations = 5

// scopedRevision is a revision of a scope.
type scopedRevision struct {
	scope    string
	revision uint64
}

// checker watches a run from outside of the machines.
type checker struct {
	world         *world
	firstContents map[scopedRevision]uint64 // what was accepted first
	digest        hash.Hash64
}

func newChecker(w *world) *checker {
	return &checker{world: w, firstContents: map[scopedRevision]uint64{}, digest: fnv.New64a()}
}

func (c *checker) report(kind ViolationKind, format string, values ...any) {
	out := &c.world.outcome
	out.Violations = append(out.Violations, Violation{kind, c.world.clock.elapsed, fmt.Sprintf(format, values...)})
}

// checkAccepted looks at what a node holds after it accepted a revision.
func (c *checker) checkAccepted(n *follower) {
	c.world.outcome.Accepted++
	revision, received := n.machine.Revision(), n.machine.Records()
	switch {
	case revision < n.highestRevision:
		c.report(BrokenOrder, "%s accepted %d after %d", n, revision, n.highestRevision)
	case revision == n.highestRevision:
		c.report(BrokenAgain, "%s accepted %d again", n, revision)
	}
	n.highestRevision = max(n.highestRevision, revision)
	contents := fingerprint(n.machine.RoutingRevision(), received)
	at := scopedRevision{fmt.Sprint(n.scope), revision}
	if first, seen := c.firstContents[at]; seen && first != contents {
		c.report(BrokenTwice, "%s accepted revision %d with other contents than another follower", n, revision)
	} else if !seen {
		c.firstContents[at] = contents
	}
	if want := c.world.log.scopeAt(revision, n.scope); !sameRecords(want, received) {
		c.report(BrokenContents, "%s at revision %d holds %d records, %d in the log", n, revision, len(received), len(want))
	}
	fmt.Fprintln(c.digest, c.world.clock.elapsed, n.name, revision, contents)
}

func sameRecords(a, b map[records.Key]*records.Record) bool {
	return maps.EqualFunc(a, b, func(x, y *records.Record) bool {
		return x.Revision == y.Revision && x.Service == y.Service && x.Zone == y.Zone && x.SameContent(y)
	})
}

// fingerprint is equal for equal records under one routing revision.
func fingerprint(routing uint64, received map[records.Key]*records.Record) uint64 {
	sum := fnv.New64a()
	var revision [8]byte
	binary.LittleEndian.PutUint64(revision[:], routing)
	sum.Write(revision[:])
	for _, key := range slices.SortedFunc(maps.Keys(received), records.Key.Compare) {
		binary.LittleEndian.PutUint64(revision[:], received[key].Revision)
		sum.Write([]byte(key.String()))
		sum.Write(revision[:])
		sum.Write(received[key].Body)
	}
	return sum.Sum64()
}

// checkSent looks at what a message costs, by what the log says of the scope between the two revisions.
func (c *checker) checkSent(one *session, response *discoveryv3.DeltaDiscoveryResponse) {
	size := proto.Size(response)
	content := configsync.ContentOf(response)
	named := content.Records
	if named == 0 && !content.FullScope {
		c.world.outcome.Progress++
		if size > maxProgressBytes {
			c.report(BrokenCost, "%d bytes of progress", size)
		}
		return
	}
	if one.follower.session != one {
		return // the follower has left, and may hold something else by now
	}
	accepted := one.follower.machine.Revision()
	revision, err := strconv.ParseUint(response.GetSystemVersionInfo(), 10, 64)
	if err != nil || revision <= accepted {
		return
	}
	if content.FullScope {
		c.checkFullScopeSent(one, accepted)
		return
	}
	c.world.outcome.Changes++
	scope := one.follower.scope
	changed := changedRecords(c.world.log.scopeAt(accepted, scope), c.world.log.scopeAt(revision, scope))
	allowed := maxProgressBytes
	for _, record := range changed {
		allowed += len(record.Name) + len(record.Body) + maxRecordOverhead
	}
	if named > len(changed) || size > allowed {
		c.report(BrokenCost, "%s from %d to %d: %d records in %d bytes, %d changed in the scope", one.follower, accepted, revision, named, size, len(changed))
	}
}

// checkFullScopeSent looks whether the member still knew the changes since the revision held.
func (c *checker) checkFullScopeSent(one *session, accepted uint64) {
	c.world.outcome.FullScopes++
	if accepted > 0 && accepted >= one.member.historyFrom {
		c.report(BrokenCost, "%s at %d got its scope whole, the member knows the changes since %d", one.follower, accepted, one.member.historyFrom)
	}
}

// checkConvergence asks all members at one moment, as an operator does, and compares what they claim with what followers hold.
func (c *checker) checkConvergence() {
	now := c.world.clock.now()
	var statuses []configsync.MemberStatus
	for _, one := range c.world.members {
		if one.server != nil {
			statuses = append(statuses, c.planted(one.server.Status(now)))
		}
	}
	force := configsync.Merge(statuses, c.world.memberNames())
	if !force.Known {
		return
	}
	c.world.outcome.Claims++
	for _, n := range c.world.followers {
		if n.absent {
			continue
		}
		if n.machine.Stale(now) {
			c.world.outcome.Stale++
			continue
		}
		c.world.outcome.LiveAtClaims++
		if n.machine.Revision() < force.ConvergedRevision {
			c.report(BrokenConvergence, "%s holds %d with a live lease, %d is told to be in force", n, n.machine.Revision(), force.ConvergedRevision)
		}
	}
}

// planted spoils a status.
func (c *checker) planted(status configsync.MemberStatus) configsync.MemberStatus {
	switch c.world.setup.Planted {
	case PlantedLeases:
		status.Leases = nil
	case PlantedSettledTooSoon:
		status.Settled = true
	}
	return status
}

// crowdSize is how many followers that wait for their whole scope are called a crowd.
const crowdSize = 5

// scheduleDelayCheck looks at those in step some time after a commit, whether they have it.
func (c *checker) scheduleDelayCheck(before, revision uint64) {
	var inStep []*follower
	crowd := 0
	for _, n := range c.world.followers {
		if n.inStep(before) && n.session.healthy() && !n.rejecting {
			inStep = append(inStep, n)
		}
		if n.session != nil && n.machine.Revision() == 0 {
			crowd++
		}
	}
	committed := c.world.clock.elapsed
	for _, n := range inStep {
		process, one := n.incarnation, n.session
		c.world.clock.after(maxInStepDelay, func() {
			if n.incarnation != process || n.session != one || n.disturbedAt >= committed || one.member.disturbedAt >= committed || !one.healthy() {
				return // something happened to it meanwhile
			}
			c.world.outcome.InStepChecked++
			if crowd >= crowdSize {
				c.world.outcome.InStepBesideCrowd++
			}
			if n.machine.Revision() < revision {
				c.report(BrokenDelay, "%s holds %d, %v after the commit of %d", n, n.machine.Revision(), c.world.clock.elapsed-committed, revision)
			}
		})
	}
}

// checkRecovered says who is not in step at the end.
func (c *checker) checkRecovered() {
	for _, n := range c.world.followers {
		if !n.inStep(c.world.log.last) {
			c.report(BrokenRecovery, "%s holds %d of %d, connected %v", n, n.machine.Revision(), c.world.log.last, n.session != nil)
		}
	}
	if len(c.world.outcome.Violations) > 0 {
		return
	}
	now := c.world.clock.now()
	var statuses []configsync.MemberStatus
	for _, one := range c.world.members {
		statuses = append(statuses, one.server.Status(now))
	}
	force := configsync.Merge(statuses, c.world.memberNames())
	if !force.Known || force.ConvergedRevision != c.world.log.last || force.Live != len(c.world.followers) {
		c.report(BrokenRecovery, "in force %d of %d, known %v, live %d of %d", force.ConvergedRevision, c.world.log.last, force.Known, force.Live, len(c.world.followers))
	}
}
