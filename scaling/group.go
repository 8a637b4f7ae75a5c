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
	ticksPerSecond   = 20   // of the clock of cluster.Node
	maxElectionTicks = 2000 // ticks within which a group must elect a leader
	neverCompact     = 1 << 40
)

// memberGroup is a group whose members exchange messages without delay or loss.
type memberGroup struct {
	members  []*cluster.Member
	messages int
	bytes    int
}

// newGroup returns a group with the given number of voters and a leader, with the default timing of nodes.
func newGroup(size int) (*memberGroup, error) { return newTimedGroup(size, cluster.DefaultTiming) }

// newTimedGroup returns a group with the given number of voters, a leader and the given timing, without log compaction.
func newTimedGroup(size int, timing cluster.Timing) (*memberGroup, error) {
	timing.CompactAfterEntries = neverCompact
	var voters []uint64
	for id := range uint64(size) {
		voters = append(voters, id+1)
	}
	group := &memberGroup{}
	for _, id := range voters {
		saved := &raftlog.SavedState{
			Identity:  diskIdentity(id),
			HardState: &raftpb.HardState{},
			Snapshot:  &raftpb.Snapshot{},
		}
		member, _, err := cluster.Start(id, saved, voters, cluster.NewState(nil), timing, id)
		if err != nil {
			return nil, fmt.Errorf("member %d of %d: %w", id, size, err)
		}
		group.members = append(group.members, member)
	}
	return group, group.elect()
}

// diskIdentity returns the identity by which members know the disk of a member.
func diskIdentity(id uint64) string { return fmt.Sprint("disk-", id) }

// errNoLeader is returned when a group elects no leader within maxElectionTicks.
var errNoLeader = fmt.Errorf("no leader was elected within %d ticks", maxElectionTicks)

// elect advances the clock until the group has a leader.
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

// leader returns the leader, nil if there is none.
func (g *memberGroup) leader() *cluster.Member {
	for _, member := range g.members {
		if member.IsLeader() {
			return member
		}
	}
	return nil
}

// tick advances the clock of all members by one tick.
func (g *memberGroup) tick() error {
	for _, member := range g.members {
		member.Tick()
	}
	return g.deliver()
}

// deliver advances all members and delivers their messages until none is pending.
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

// advance advances all members and returns the messages that they send.
func (g *memberGroup) advance() (messages []*raftpb.Message, err error) {
	for _, member := range g.members {
		sent, _, _, err := member.Advance(func(raftlog.Batch) error { return nil })
		if err != nil {
			return nil, err
		}
		messages = append(messages, sent...)
	}
	return messages, nil
}

// propose proposes a command at the leader and delivers all messages. It returns an error if the leader did not apply
// it.
func (g *memberGroup) propose(command cluster.Command) error {
	leader := g.leader()
	appliedBefore := leader.Status().Applied
	if err := leader.Propose(command); err != nil {
		return err
	}
	if err := g.deliver(); err != nil {
		return err
	}
	if leader.Status().Applied <= appliedBefore {
		return errors.New("the proposal was not applied")
	}
	return nil
}

// idleSample counts the messages of an idle group. Values are per second, summed over all members.
func idleSample(size int, effort Effort) (Sample, error) {
	return groupSample(size, effort, func(group *memberGroup, _ uint64) error {
		for range ticksPerSecond {
			if err := group.tick(); err != nil {
				return err
			}
		}
		return nil
	})
}

// proposalSample counts the messages of all members for one proposal of 100 bytes.
func proposalSample(size int, effort Effort) (Sample, error) {
	return groupSample(size, effort, func(group *memberGroup, number uint64) error {
		return group.propose(cluster.Command{
			Kind:   cluster.CommandSetAddress,
			Client: operatorClient,
			Seq:    number,
			Member: 1,
			Text:   "127.0.0.1:18011",
		})
	})
}

// groupSample measures an operation of a group, and the messages that it causes with their bytes.
func groupSample(size int, effort Effort, operation func(group *memberGroup, number uint64) error) (Sample, error) {
	sample := newSample(size)
	group, err := newGroup(size)
	if err != nil {
		return sample, err
	}
	group.messages = 0
	group.bytes = 0
	operations := uint64(0)
	err = repeat(&sample, effort, func() error {
		operations++
		return operation(group, operations)
	})
	sample.Values[Messages] = float64(group.messages) / float64(operations)
	sample.Values[Wire] = float64(group.bytes) / float64(operations)
	return sample, err
}

func groupSlopes() []Slope {
	sizes := []int{3, 5, 9, 17, 33}
	return []Slope{
		{
			Name:      "group-idle",
			Operation: "one second of an idle group, all members; wire without gRPC headers",
			Size:      "voters",
			Method:    Simulated,
			Sizes:     sizes,
			Run:       idleSample,
		},
		{
			Name:      "group-proposal",
			Operation: "one proposal of 100 bytes, all members",
			Size:      "voters",
			Method:    Simulated,
			Sizes:     sizes,
			Run:       proposalSample,
		},
		{
			Name:      "group-loopback",
			Operation: "one second of an idle group of real nodes on loopback, all members, both ends of each connection",
			Size:      "voters",
			Method:    Measured,
			Sizes:     []int{3, 5, 9, 17, 33},
			Run:       loopbackSample,
		},
	}
}
