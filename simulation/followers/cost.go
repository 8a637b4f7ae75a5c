package followers

import (
	"strconv"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/configsync"
)

// checkSent checks what a message to a follower costs, by what the log says of the scope between the two revisions.
func (c *checker) checkSent(s *session, response *discoveryv3.DeltaDiscoveryResponse) {
	content := configsync.ContentOf(response)
	if content.Records == 0 && !content.FullScope {
		c.checkProgressSent(proto.Size(response))
		return
	}
	if s.follower.session != s {
		return // the follower has left, and may hold something else by now
	}
	accepted := s.follower.machine.Revision()
	revision, err := strconv.ParseUint(response.GetSystemVersionInfo(), 10, 64)
	if err != nil || revision <= accepted {
		return
	}
	if content.FullScope {
		c.checkFullScopeSent(s, accepted)
		return
	}
	c.checkChangesSent(s.follower, accepted, revision, response)
}

// checkProgressSent checks a message that tells of a revision only.
func (c *checker) checkProgressSent(size int) {
	c.world.outcome.Progress++
	if size > maxProgressBytes {
		c.report(BrokenCost, "%d bytes of progress", size)
	}
}

// checkFullScopeSent checks that the member no longer knew the changes since the accepted revision.
func (c *checker) checkFullScopeSent(s *session, accepted uint64) {
	c.world.outcome.FullScopes++
	if accepted > 0 && accepted >= s.member.historyFrom {
		c.report(BrokenCost, "%s at %d got its scope whole, the member knows the changes since %d", s.follower, accepted, s.member.historyFrom)
	}
}

// checkChangesSent checks that a message has only what changed in the follower's scope.
func (c *checker) checkChangesSent(f *follower, accepted, revision uint64, response *discoveryv3.DeltaDiscoveryResponse) {
	c.world.outcome.Changes++
	changed := changedRecords(c.world.log.scopeAt(accepted, f.scope), c.world.log.scopeAt(revision, f.scope))
	maxBytes := maxProgressBytes
	for _, record := range changed {
		maxBytes += len(record.Name) + len(record.Body) + maxRecordOverheadBytes
	}
	sent := configsync.ContentOf(response).Records
	size := proto.Size(response)
	if sent > len(changed) || size > maxBytes {
		c.report(BrokenCost, "%s from %d to %d: %d records in %d bytes, %d changed in the scope", f, accepted, revision, sent, size, len(changed))
	}
}
