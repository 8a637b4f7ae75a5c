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
	quietLease          = 10 * time.Minute // so that no renewal falls into a measurement
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
	m := &socketMember{changingStore: source, service: transport.NewService("member", source.store, limits, zap.NewNop())}
	server := cluster.NewServer(nil)
	m.service.Register(server)
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { server.Serve(listener) })
	m.stopAndWait = func() {
		stop()
		server.Stop()
		tasks.Wait()
	}
	for n := range followers {
		client, err := newSocketClient(n, listener.Addr().String(), lease)
		if err != nil {
			m.stopAndWait()
			return nil, err
		}
		m.clients = append(m.clients, client)
		tasks.Go(func() { client.Run(ctx) })
	}
	if err := m.waitInStep(); err != nil {
		m.stopAndWait()
		return nil, err
	}
	return m, nil
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

// waitInStep waits until all followers have reported to the member that they accepted its revision.
func (m *socketMember) waitInStep() error {
	for begun := time.Now(); time.Since(begun) < socketTimeout; time.Sleep(answerPollInterval) {
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

// memberChanges returns the total number of the followers' failovers to another member.
func (m *socketMember) memberChanges() (moves uint64) {
	for _, client := range m.clients {
		moves += client.Status().Failovers
	}
	return moves
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
	from := m.service.Counts().Accepted
	m.service.Committed(change)
	return m.waitForCounts(answerPollInterval, func(now configsync.Counts) bool { return now.Accepted-from >= uint64(len(m.clients)) })
}

// waitRenewals waits until the member has counted as many more lease renewals as there are followers.
func (m *socketMember) waitRenewals() error {
	from := m.service.Counts().Heartbeats
	return m.waitForCounts(renewalPollInterval, func(now configsync.Counts) bool { return now.Heartbeats-from >= uint64(len(m.clients)) })
}

// waitForCounts polls the member's counts until reached returns true.
func (m *socketMember) waitForCounts(every time.Duration, reached func(configsync.Counts) bool) error {
	for begun := time.Now(); time.Since(begun) < socketTimeout; time.Sleep(every) {
		if reached(m.service.Counts()) {
			return nil
		}
	}
	return fmt.Errorf("not all %d followers answered within %s", len(m.clients), socketTimeout)
}

// answeredCount returns the number of changes and renewals that followers have answered so far.
func answeredCount(counts configsync.Counts) uint64 { return counts.Accepted + counts.Heartbeats }

// socketSample measures an operation and its bytes, both ends. Values are per change or renewal of a follower.
func socketSample(s *Sample, m *socketMember, times int, operation func() error) error {
	var cost meter
	before, from := m.traffic(), answeredCount(m.service.Counts())
	cost.start()
	for range times {
		if err := operation(); err != nil {
			return err
		}
	}
	cost.stop()
	if moves := m.memberChanges(); moves > 0 {
		return fmt.Errorf("followers left the member %d times, want 0", moves)
	}
	each := answeredCount(m.service.Counts()) - from
	cost.recordPerOperation(s, int(each))
	s.Values[Wire] = float64(m.traffic()-before) / float64(each)
	return nil
}

// socketChangeSample measures changes that all followers need.
func socketChangeSample(followers int, effort Effort) (Sample, error) {
	s := newSample(followers)
	m, err := newSocketMember(followers, quietLease)
	if err != nil {
		return s, err
	}
	defer m.stopAndWait()
	times := briefChanges
	if effort == Full {
		times = fullChanges
	}
	return s, socketSample(&s, m, times, m.commit)
}

// socketRenewSample measures lease renewals, with the default lease of members.
func socketRenewSample(followers int, effort Effort) (Sample, error) {
	s := newSample(followers)
	m, err := newSocketMember(followers, configsync.DefaultLimits.Lease)
	if err != nil {
		return s, err
	}
	defer m.stopAndWait()
	times := briefRenewals
	if effort == Full {
		times = fullRenewals
	}
	return s, socketSample(&s, m, times, m.waitRenewals)
}

func socketSlopes() []Slope {
	sizes := []int{10, 30, 100, 300}
	return []Slope{
		{Name: "follow-socket-change", Operation: "one changed tenant, sent over loopback and accepted, both ends with all framing above TCP", Size: "followers, all interested",
			Method: Measured, Sizes: sizes, Run: socketChangeSample},
		{Name: "follow-socket-renew", Operation: "one lease renewal over loopback, both ends with all framing above TCP", Size: "followers",
			Method: Measured, Sizes: sizes, Run: socketRenewSample},
	}
}
