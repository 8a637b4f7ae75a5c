package scaling

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/raftlog"
)

const (
	ticksPerSecond   = 20   // of cluster.Node's clock
	maxElectionTicks = 2000 // ticks until a group has a leader
	neverCompact     = 1 << 40
)

// memberGroup is members that exchange messages at once and lose none.
type memberGroup struct {
	members  []*cluster.Member
	messages int
	bytes    int
}

// newGroup is a group of so many voters with a leader, by the timing of nodes in service.
func newGroup(size int) (*memberGroup, error) { return newTimedGroup(size, cluster.DefaultTiming) }

// newTimedGroup is a group of so many voters with a leader.
func newTimedGroup(size int, timing cluster.Timing) (*memberGroup, error) {
	timing.CompactAfterEntries = neverCompact
	var voters []uint64
	for id := range uint64(size) {
		voters = append(voters, id+1)
	}
	g := &memberGroup{}
	for _, id := range voters {
		saved := &raftlog.SavedState{
			Identity:  diskIdentity(id),
			HardState: &raftpb.HardState{},
			Snapshot:  &raftpb.Snapshot{},
		}
		m, _, err := cluster.Start(id, saved, voters, cluster.NewState(nil), timing, id)
		if err != nil {
			return nil, fmt.Errorf("member %d of %d: %w", id, size, err)
		}
		g.members = append(g.members, m)
	}
	return g, g.elect()
}

// diskIdentity is by what members know each other.
func diskIdentity(id uint64) string { return fmt.Sprint("disk-", id) }

// errNoLeader says that a group elected no leader in time.
var errNoLeader = errors.New("no leader was elected")

// elect lets time pass until the group has a leader.
func (g *memberGroup) elect() error {
	for range maxElectionTicks {
		if err := g.tick(); err != nil {
			return err
		}
		if g.leader() != nil {
			return g.deliver()
		}
	}
	return errNoLeader
}

// leader is the member that leads, nil if there is none.
func (g *memberGroup) leader() *cluster.Member {
	for _, m := range g.members {
		if m.IsLeader() {
			return m
		}
	}
	return nil
}

// tick lets a tick pass at all members.
func (g *memberGroup) tick() error {
	for _, m := range g.members {
		m.Tick()
	}
	return g.deliver()
}

// deliver has all members act until no message is on its way.
func (g *memberGroup) deliver() error {
	for {
		messages, err := g.advance()
		if err != nil || len(messages) == 0 {
			return err
		}
		for _, message := range messages {
			g.messages++
			g.bytes += proto.Size(message)
			g.members[message.GetTo()-1].Step(diskIdentity(message.GetFrom()), "", message)
		}
	}
}

// advance has all members act, and returns what they send.
func (g *memberGroup) advance() (messages []*raftpb.Message, err error) {
	for _, m := range g.members {
		sent, _, _, err := m.Advance(func(raftlog.Batch) error { return nil })
		if err != nil {
			return nil, err
		}
		messages = append(messages, sent...)
	}
	return messages, nil
}

// propose has the leader's command committed and applied by all.
func (g *memberGroup) propose(c cluster.Command) error {
	leader := g.leader()
	before := leader.Status().Applied
	if err := leader.Propose(c); err != nil {
		return err
	}
	if err := g.deliver(); err != nil {
		return err
	}
	if leader.Status().Applied <= before {
		return errors.New("the proposal was not applied")
	}
	return nil
}

// idleSample counts what an idle group sends. Values are for each second, of all members.
func idleSample(size int, effort Effort) (Sample, error) {
	return groupSample(size, effort, func(g *memberGroup, _ uint64) error {
		for range ticksPerSecond {
			if err := g.tick(); err != nil {
				return err
			}
		}
		return nil
	})
}

// proposalSample counts what one proposal of 100 bytes has the group send.
func proposalSample(size int, effort Effort) (Sample, error) {
	return groupSample(size, effort, func(g *memberGroup, number uint64) error {
		return g.propose(cluster.Command{
			Kind:   cluster.CommandSetAddress,
			Client: operatorClient,
			Seq:    number,
			Member: 1,
			Text:   "127.0.0.1:18011",
		})
	})
}

// groupSample meters an operation of a group, the messages that it leads to, and their bytes.
func groupSample(size int, effort Effort, operation func(g *memberGroup, number uint64) error) (Sample, error) {
	s := newSample(size)
	g, err := newGroup(size)
	if err != nil {
		return s, err
	}
	g.messages = 0
	g.bytes = 0
	operations := uint64(0)
	err = repeat(&s, effort, func() error {
		operations++
		return operation(g, operations)
	})
	s.Values[Messages] = float64(g.messages) / float64(operations)
	s.Values[Wire] = float64(g.bytes) / float64(operations)
	return s, err
}

func groupSlopes() []Slope {
	sizes := []int{3, 5, 9, 17, 33}
	return []Slope{
		{Name: "group-idle", Operation: "a second of an idle group, all members; wire without gRPC's heads", Size: "voters", Method: Simulated, Sizes: sizes, Run: idleSample},
		{Name: "group-proposal", Operation: "one proposal of 100 bytes, all members", Size: "voters", Method: Simulated, Sizes: sizes, Run: proposalSample},
		{Name: "group-loopback", Operation: "a second of an idle group of real nodes on loopback, all members, both ends of each connection", Size: "voters",
			Method: Measured, Sizes: []int{3, 5, 9, 17, 33}, Run: loopbackSample},
	}
}
