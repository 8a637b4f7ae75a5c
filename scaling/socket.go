package scaling

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/records"
)

const (
	longLease           = 10 * time.Minute // so that no renewal falls into a measurement
	briefRenewals       = 2                // measured lease renewals of each follower
	fullRenewals        = 5
	briefChanges        = 5 // measured changes
	fullChanges         = 50
	socketTimeout       = time.Minute // for all followers; reached only in case of a fault
	answerPollInterval  = time.Millisecond
	renewalPollInterval = 50 * time.Millisecond // long, so that polling does not dominate the measurement
)

// socketMember is a member's service on loopback with followers. Each follower is a real client with its own
// connection.
type socketMember struct {
	*changingStore
	service     *transport.Service
	clients     []*transport.Client
	stopAndWait func()
}

func newSocketMember(followers int, lease time.Duration) (*socketMember, error) {
	source, err := newChangingStore()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	limits := configsync.DefaultLimits
	limits.Lease = lease
	limits.MaxStreams = followers
	limits.FullScopeBytesPerSecond = unlimitedFullScopeBytes
	limits.FullScopeBurstBytes = unlimitedFullScopeBytes
	member := &socketMember{
		changingStore: source,
		service:       transport.NewService("member", source.store, limits, zap.NewNop()),
	}
	server := cluster.NewServer(nil)
	member.service.Register(server)
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { server.Serve(listener) })
	member.stopAndWait = func() {
		stop()
		server.Stop()
		tasks.Wait()
	}
	for n := range followers {
		client, err := newSocketClient(n, listener.Addr().String(), lease)
		if err != nil {
			member.stopAndWait()
			return nil, err
		}
		member.clients = append(member.clients, client)
		tasks.Go(func() { client.Run(ctx) })
	}
	if err := member.waitUntilInStep(); err != nil {
		member.stopAndWait()
		return nil, err
	}
	return member, nil
}

// newSocketClient returns a follower of the changed service.
func newSocketClient(n int, member string, lease time.Duration) (*transport.Client, error) {
	return transport.NewClient(transport.Config{
		Name:    fmt.Sprint("conductor-", n),
		Scope:   scopeOf(changedService),
		Members: []string{member},
		Lease:   lease,
		Seed:    uint64(n + 1),
	})
}

// waitUntilInStep waits until all followers have reported to the member that they accepted its revision.
func (m *socketMember) waitUntilInStep() error {
	for startTime := time.Now(); time.Since(startTime) < socketTimeout; time.Sleep(answerPollInterval) {
		if status := m.service.Status(); status.Live == len(m.clients) && status.ConvergedRevision == m.store.Revision() {
			return nil
		}
	}
	return fmt.Errorf("not all %d followers were in step within %s", len(m.clients), socketTimeout)
}

// traffic returns the bytes of all followers' connections so far, in both directions.
func (m *socketMember) traffic() (bytes uint64) {
	for _, client := range m.clients {
		bytes += client.Traffic.In.Load() + client.Traffic.Out.Load()
	}
	return bytes
}

// countFailovers returns the total number of the followers' failovers to another member.
func (m *socketMember) countFailovers() (failovers uint64) {
	for _, client := range m.clients {
		failovers += client.Status().Failovers
	}
	return failovers
}

// commit changes a tenant and waits until all followers have accepted the revision.
func (m *socketMember) commit() error {
	change, err := m.change()
	if err != nil {
		return err
	}
	return m.notify(change)
}

// notify publishes a change to the followers and waits until all have accepted it.
func (m *socketMember) notify(change records.Change) error {
	before := m.service.Counts().Accepted
	m.service.Committed(change)
	return m.waitForCounts(answerPollInterval, func(counts configsync.Counts) bool { return counts.Accepted-before >= uint64(len(m.clients)) })
}

// waitForRenewals waits until the member has counted as many more lease renewals as there are followers.
func (m *socketMember) waitForRenewals() error {
	before := m.service.Counts().Heartbeats
	return m.waitForCounts(renewalPollInterval, func(counts configsync.Counts) bool { return counts.Heartbeats-before >= uint64(len(m.clients)) })
}

// waitForCounts polls the member's counts until reached returns true.
func (m *socketMember) waitForCounts(interval time.Duration, reached func(configsync.Counts) bool) error {
	for startTime := time.Now(); time.Since(startTime) < socketTimeout; time.Sleep(interval) {
		if reached(m.service.Counts()) {
			return nil
		}
	}
	return fmt.Errorf("not all %d followers answered within %s", len(m.clients), socketTimeout)
}

// answeredCount returns the number of changes and renewals that followers have answered so far.
func answeredCount(counts configsync.Counts) uint64 { return counts.Accepted + counts.Heartbeats }

// socketSample measures an operation and its bytes, both ends. Values are per change or renewal of a follower.
func socketSample(sample *Sample, member *socketMember, repetitions int, operation func() error) error {
	var cost meter
	bytesBefore, answeredBefore := member.traffic(), answeredCount(member.service.Counts())
	cost.start()
	for range repetitions {
		if err := operation(); err != nil {
			return err
		}
	}
	cost.stop()
	if failovers := member.countFailovers(); failovers > 0 {
		return fmt.Errorf("followers left the member %d times, want 0", failovers)
	}
	answered := answeredCount(member.service.Counts()) - answeredBefore
	cost.recordPerOperation(sample, int(answered))
	sample.Values[Wire] = float64(member.traffic()-bytesBefore) / float64(answered)
	return nil
}

// socketChangeSample measures changes that all followers need.
func socketChangeSample(followers int, effort Effort) (Sample, error) {
	sample := newSample(followers)
	member, err := newSocketMember(followers, longLease)
	if err != nil {
		return sample, err
	}
	defer member.stopAndWait()
	repetitions := briefChanges
	if effort == Full {
		repetitions = fullChanges
	}
	return sample, socketSample(&sample, member, repetitions, member.commit)
}

// socketRenewSample measures lease renewals, with the default lease of members.
func socketRenewSample(followers int, effort Effort) (Sample, error) {
	sample := newSample(followers)
	member, err := newSocketMember(followers, configsync.DefaultLimits.Lease)
	if err != nil {
		return sample, err
	}
	defer member.stopAndWait()
	repetitions := briefRenewals
	if effort == Full {
		repetitions = fullRenewals
	}
	return sample, socketSample(&sample, member, repetitions, member.waitForRenewals)
}

func socketSlopes() []Slope {
	sizes := []int{10, 30, 100, 300}
	return []Slope{
		{
			Name:      "follow-socket-change",
			Operation: "one changed tenant, sent over loopback and accepted, both ends with all framing above TCP",
			Size:      "followers, all interested",
			Method:    Measured,
			Sizes:     sizes,
			Run:       socketChangeSample,
		},
		{
			Name:      "follow-socket-renew",
			Operation: "one lease renewal over loopback, both ends with all framing above TCP",
			Size:      "followers",
			Method:    Measured,
			Sizes:     sizes,
			Run:       socketRenewSample,
		},
	}
}
