package followers

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"harehook.dev/harehook/records"
)

// maxViolations is after how many of them a run ends.
const maxViolations = 5

// The bounds that the checks hold the machines to.
const (
	// maxInStepDelay bounds a change to a follower in step: replication, an answer under way, the offer.
	maxInStepDelay = 500 * time.Millisecond
	// maxProgressBytes bounds a message that tells of a revision only.
	maxProgressBytes = 128
	// maxRecordOverheadBytes bounds a changed record beside its name and body.
	maxRecordOverheadBytes = 1 << 10
)

// checker compares what the machines do with the model in the agreedLog. It stands outside of the machines.
type checker struct {
	world         *world
	firstContents map[scopedRevision]uint64 // fingerprint of what was accepted first
	digest        hash.Hash64               // of all that was accepted
}

// scopedRevision is a revision of a scope.
type scopedRevision struct {
	scope    string
	revision uint64
}

func newChecker(w *world) *checker {
	return &checker{world: w, firstContents: map[scopedRevision]uint64{}, digest: fnv.New64a()}
}

// report adds a violation to the outcome.
func (c *checker) report(kind ViolationKind, format string, values ...any) {
	violation := Violation{Kind: kind, At: c.world.clock.elapsed, Detail: fmt.Sprintf(format, values...)}
	c.world.outcome.Violations = append(c.world.outcome.Violations, violation)
}

// checkAccepted checks what a follower holds after it accepted a revision.
func (c *checker) checkAccepted(f *follower) {
	c.world.outcome.Accepted++
	revision := f.machine.Revision()
	c.checkOrder(f, revision)
	contents := fingerprint(f.machine.RoutingRevision(), f.machine.Records())
	c.checkSameContents(f, revision, contents)
	c.checkContents(f, revision)
	fmt.Fprintln(c.digest, c.world.clock.elapsed, f.name, revision, contents)
}

// checkOrder checks that a process accepts each revision once, and no older one after it.
func (c *checker) checkOrder(f *follower, revision uint64) {
	switch {
	case revision < f.highestRevision:
		c.report(BrokenOrder, "%s accepted %d after %d", f, revision, f.highestRevision)
	case revision == f.highestRevision:
		c.report(BrokenAgain, "%s accepted %d again", f, revision)
	}
	f.highestRevision = max(f.highestRevision, revision)
}

// checkSameContents checks that all followers with one scope hold the same at a revision.
func (c *checker) checkSameContents(f *follower, revision, contents uint64) {
	at := scopedRevision{scope: fmt.Sprint(f.scope), revision: revision}
	first, seen := c.firstContents[at]
	if !seen {
		c.firstContents[at] = contents
		return
	}
	if first != contents {
		c.report(BrokenTwice, "%s accepted revision %d with other contents than another follower", f, revision)
	}
}

// checkContents checks that a follower holds what the log has in its scope.
func (c *checker) checkContents(f *follower, revision uint64) {
	received := f.machine.Records()
	want := c.world.log.scopeAt(revision, f.scope)
	if !sameRecords(want, received) {
		c.report(BrokenContents, "%s at revision %d holds %d records, %d in the log", f, revision, len(received), len(want))
	}
}

func sameRecords(a, b map[records.Key]*records.Record) bool {
	return maps.EqualFunc(a, b, func(x, y *records.Record) bool {
		return x.Revision == y.Revision && x.Service == y.Service && x.Zone == y.Zone && x.SameContent(y)
	})
}

// fingerprint is equal for equal records under one routing revision.
func fingerprint(routingRevision uint64, received map[records.Key]*records.Record) uint64 {
	sum := fnv.New64a()
	writeRevision := func(revision uint64) {
		var encoded [8]byte
		binary.LittleEndian.PutUint64(encoded[:], revision)
		sum.Write(encoded[:])
	}
	writeRevision(routingRevision)
	for _, key := range slices.SortedFunc(maps.Keys(received), records.Key.Compare) {
		sum.Write([]byte(key.String()))
		writeRevision(received[key].Revision)
		sum.Write(received[key].Body)
	}
	return sum.Sum64()
}
