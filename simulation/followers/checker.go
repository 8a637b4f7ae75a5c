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

// maxViolations is the number of violations after which a run ends.
const maxViolations = 5

// The bounds that the checks apply to the state machines.
const (
	// maxInStepDelay bounds the time from a commit until a follower in step has the change. It covers replication, the
	// reply to an earlier response that is still pending, and the response with the change.
	maxInStepDelay = 500 * time.Millisecond
	// maxProgressBytes bounds the size of a message without records.
	maxProgressBytes = 128
	// maxRecordOverheadBytes bounds the bytes of a changed record in addition to its name and body.
	maxRecordOverheadBytes = 1 << 10
)

// checker compares the behavior of the state machines with the model in the agreedLog. It is independent of the state
// machines.
type checker struct {
	world       *world
	firstHashes map[scopedRevision]uint64 // hashes of the contents that a follower accepted first
	digest      hash.Hash64               // of all accepted revisions
}

// scopedRevision identifies a revision of a scope.
type scopedRevision struct {
	scope    string
	revision uint64
}

func newChecker(w *world) *checker {
	return &checker{world: w, firstHashes: map[scopedRevision]uint64{}, digest: fnv.New64a()}
}

// report adds a violation to the outcome.
func (c *checker) report(kind ViolationKind, format string, values ...any) {
	violation := Violation{Kind: kind, At: c.world.clock.elapsed, Detail: fmt.Sprintf(format, values...)}
	c.world.outcome.Violations = append(c.world.outcome.Violations, violation)
}

// checkAccepted checks the records of a follower after it has accepted a revision.
func (c *checker) checkAccepted(f *follower) {
	c.world.outcome.Accepted++
	revision := f.machine.Revision()
	c.checkOrder(f, revision)
	contentsHash := hashContents(f.machine.RoutingRevision(), f.machine.Records())
	c.checkSameContents(f, revision, contentsHash)
	c.checkContents(f, revision)
	fmt.Fprintln(c.digest, c.world.clock.elapsed, f.name, revision, contentsHash)
}

// checkOrder checks that a process accepts each revision only once, and no older one after it.
func (c *checker) checkOrder(f *follower, revision uint64) {
	switch {
	case revision < f.highestRevision:
		c.report(BrokenOrder, "%s accepted revision %d after revision %d", f, revision, f.highestRevision)
	case revision == f.highestRevision:
		c.report(BrokenAcceptOnce, "%s accepted revision %d again", f, revision)
	}
	f.highestRevision = max(f.highestRevision, revision)
}

// checkSameContents checks that all followers with the same scope have the same contents at a revision.
func (c *checker) checkSameContents(f *follower, revision, contentsHash uint64) {
	at := scopedRevision{scope: fmt.Sprint(f.scope), revision: revision}
	first, seen := c.firstHashes[at]
	if !seen {
		c.firstHashes[at] = contentsHash
		return
	}
	if first != contentsHash {
		c.report(BrokenConsistency, "%s accepted revision %d with contents that differ from those of another follower", f, revision)
	}
}

// checkContents checks that the records of a follower are those that the log has in its scope.
func (c *checker) checkContents(f *follower, revision uint64) {
	got := f.machine.Records()
	want := c.world.log.scopeAt(revision, f.scope)
	if !sameRecords(want, got) {
		c.report(BrokenContents, "%s at revision %d holds %d records that differ from the %d records in the log", f, revision, len(got), len(want))
	}
}

func sameRecords(a, b map[records.Key]*records.Record) bool {
	return maps.EqualFunc(a, b, func(x, y *records.Record) bool {
		return x.Revision == y.Revision && x.Service == y.Service && x.Zone == y.Zone && x.SameContent(y)
	})
}

// hashContents returns a hash of the records and their routing revision.
func hashContents(routingRevision uint64, contents map[records.Key]*records.Record) uint64 {
	sum := fnv.New64a()
	writeRevision := func(revision uint64) {
		var encoded [8]byte
		binary.LittleEndian.PutUint64(encoded[:], revision)
		sum.Write(encoded[:])
	}
	writeRevision(routingRevision)
	for _, key := range slices.SortedFunc(maps.Keys(contents), records.Key.Compare) {
		sum.Write([]byte(key.String()))
		writeRevision(contents[key].Revision)
		sum.Write(contents[key].Body)
	}
	return sum.Sum64()
}
