package followers

import (
	"strconv"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/configsync"
)

// checkSent checks the size of a message to a follower against the changes that the log has in the follower's scope
// between the revision that the follower has accepted and the revision of the message.
func (c *checker) checkSent(s *session, response *discoveryv3.DeltaDiscoveryResponse) {
	content := configsync.ContentOf(response)
	if content.Records == 0 && !content.FullScope {
		c.checkProgressSent(proto.Size(response))
		return
	}
	if s.follower.session != s {
		return // the follower has left this session, and its revision may have changed since
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

// checkProgressSent checks the size of a message without records: the progress to a revision, or a heartbeat.
func (c *checker) checkProgressSent(size int) {
	c.world.outcome.Progress++
	if size > maxProgressBytes {
		c.report(BrokenCost, "a message without records has %d bytes, want at most %d", size, maxProgressBytes)
	}
}

// checkFullScopeSent checks that a full scope is sent only if the member no longer has the changes since the accepted
// revision.
func (c *checker) checkFullScopeSent(s *session, accepted uint64) {
	c.world.outcome.FullScopes++
	if accepted > 0 && accepted >= s.member.historyFrom {
		c.report(BrokenCost, "%s at revision %d received its full scope, but the member has the changes since revision %d", s.follower, accepted, s.member.historyFrom)
	}
}

// checkChangesSent checks that a message has at most as many records and bytes as the changes in the follower's scope
// require.
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
		c.report(BrokenCost, "%s from revision %d to %d received %d records in %d bytes, want at most %d records in %d bytes", f, accepted, revision, sent, size, len(changed), maxBytes)
	}
}
