package follow

import (
	"testing"

	"harehook.dev/harehook/records"
)

// A follower gets its scope whole, then what changes within it, and is told of revisions that touch nothing of it.
func TestFollow(t *testing.T) {
	log := newLog(100)
	log.put(t, "buy", "shop", 1000)
	log.put(t, "sell", "market", 1000)
	m := newMember(t, log, testLimits())
	c := newConductor(t, Config{Scope: records.Scope{Services: []string{"shop"}}, Members: []string{m.address}})
	c.awaitHolds(log)
	log.put(t, "buy", "shop", 2000)
	c.awaitHolds(log)
	log.put(t, "sell", "market", 2000)
	c.awaitHolds(log)
	if counts := m.service.Counts(); counts.Whole != 1 || counts.Changes != 1 || counts.Progress != 1 {
		t.Errorf("sent: %+v", counts)
	}
	until(t, "the revision is in force", func() bool {
		status := m.service.Status()
		return status.Live == 1 && status.InForce == log.Revision()
	})
}
