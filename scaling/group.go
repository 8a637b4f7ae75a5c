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
	ticksSecond  = 20   // of cluster.Node's clock
	maxElections = 2000 // ticks until a group has a leader
	neverCompact = 1 << 40
)

// group is members that exchange messages at once and lose none.
type group struct {
	members  []*cluster.Member
	messages int
	bytes    int
}

// newGroup is a group of so many voters with a leader, by the timing of nodes in service.
func newGroup(size int) (*group, error) { return newTimedGroup(size, cluster.DefaultTiming) }

func newTimedGroup(size int, timing cluster.Timing) (*group, error) {
	timing.CompactAfterEntries = neverCompact
	g := &group{}
	var voters []uint64
	for id := range uint64(size) {
		voters = append(voters, id+1)
	}
	for _, id := range voters {
		saved := &raftlog.SavedState{Identity: fmt.Sprint("disk-", id), HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
		m, _, err := cluster.Start(id, saved, voters, cluster.NewState(nil), timing, id)
		if err != nil {
			return nil, err
		}
		g.members = append(g.members, m)
	}
	for range maxElections {
		if err := g.tick(); err != nil {
			return nil, err
		}
		if g.leader() != nil {
			return g, g.deliver()
		}
	}
	return nil, errors.New("no leader was elected")
}

func (g *group) leader() *cluster.Member {
	for _, m := range g.members {
		if m.IsLeader() {
			return m
		}
	}
	return nil
}

func (g *group) tick() error {
	for _, m := range g.members {
		m.Tick()
	}
	return g.deliver()
}

// deliver has all members act until no message is on its way.
func (g *group) deliver() error {
	for {
		var under []*raftpb.Message
		for _, m := range g.members {
			out, _, _, err := m.Advance(func(raftlog.Batch) error { return nil })
			if err != nil {
				return err
			}
			under = append(under, out...)
		}
		if len(under) == 0 {
			return nil
		}
		for _, message := range under {
			g.messages++
			g.bytes += proto.Size(message)
			g.members[message.GetTo()-1].Step(fmt.Sprint("disk-", message.GetFrom()), "", message)
		}
	}
}

// propose has the leader's command committed and applied by all.
func (g *group) propose(c cluster.Command) error {
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
	return groupSample(size, effort, func(g *group, _ uint64) error {
		for range ticksSecond {
			if err := g.tick(); err != nil {
				return err
			}
		}
		return nil
	})
}

// proposalSample counts what one proposal of 100 bytes has the group send.
func proposalSample(size int, effort Effort) (Sample, error) {
	return groupSample(size, effort, func(g *group, n uint64) error {
		return g.propose(cluster.Command{Kind: cluster.CommandSetAddress, Client: "operator", Seq: n, Member: 1, Text: "127.0.0.1:18011"})
	})
}

// groupSample meters an operation of a group, the messages that it leads to, and their bytes.
func groupSample(size int, effort Effort, operation func(g *group, n uint64) error) (Sample, error) {
	s := newSample(size)
	g, err := newGroup(size)
	if err != nil {
		return s, err
	}
	g.messages, g.bytes = 0, 0
	n := uint64(0)
	if err := repeat(&s, effort, func() error {
		n++
		return operation(g, n)
	}); err != nil {
		return s, err
	}
	s.Values[Messages], s.Values[Wire] = float64(g.messages)/float64(n), float64(g.bytes)/float64(n)
	return s, nil
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
