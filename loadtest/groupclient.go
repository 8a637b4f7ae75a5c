package loadtest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/cluster"
	front "harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/records"
)

const (
	proposeTimeout = 2 * time.Second  // of one try at one member
	answerTimeout  = 60 * time.Second // of all tries: a leader that was killed has to be replaced
	retryInterval  = 50 * time.Millisecond
)

// groupClient proposes transactions as an operator does: to any member, and to the next one where that does not answer.
type groupClient struct {
	conns     []*grpc.ClientConn // by member
	next      int
	proposals uint64 // of proposals
}

func newGroupClient(addresses []string) (*groupClient, error) {
	g := &groupClient{}
	for _, address := range addresses {
		conn, err := cluster.Dial(address, nil)
		if err != nil {
			return nil, err
		}
		g.conns = append(g.conns, conn)
	}
	return g, nil
}

func (g *groupClient) close() {
	if g == nil {
		return
	}
	for _, conn := range g.conns {
		conn.Close()
	}
}

// propose has the group agree on a transaction and gives its revision. A proposal that got no answer is made again
// under its own name, so that it is applied once.
func (g *groupClient) propose(ctx context.Context, transaction records.Transaction) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	g.proposals++
	for {
		call, stop := context.WithTimeout(ctx, proposeTimeout)
		var result cluster.Result
		result, err = proposeOnce(call, g.conns[g.next], g.proposals, transaction)
		stop()
		switch {
		case err == nil && result.Rejected != "":
			return 0, errors.New("refused: " + result.Rejected)
		case err == nil:
			return result.Version, nil
		case status.Code(err) == codes.InvalidArgument:
			return 0, err
		}
		g.next = (g.next + 1) % len(g.conns)
		if waiting := sleep(ctx, retryInterval); waiting != nil {
			return 0, fmt.Errorf("%w: %w", waiting, err)
		}
	}
}

// leader waits until a member says that it leads.
func (g *groupClient) leader(ctx context.Context) (id uint64, err error) {
	for {
		for _, conn := range g.conns {
			call, stop := context.WithTimeout(ctx, proposeTimeout)
			leader, failed := leaderOnce(call, conn)
			stop()
			if failed == nil && leader != 0 {
				return leader, nil
			}
			err = failed
		}
		if waiting := sleep(ctx, retryInterval); waiting != nil {
			return 0, fmt.Errorf("no leader: %w: %w", waiting, err)
		}
	}
}

// describeStatus tells where each member stands, for an error.
func (g *groupClient) describeStatus(ctx context.Context) string {
	var lines []string
	for at, conn := range g.conns {
		call, stop := context.WithTimeout(ctx, proposeTimeout)
		report, err := cluster.Call[cluster.StatusReport](call, conn, "Status", struct{}{})
		stop()
		if err != nil {
			lines = append(lines, fmt.Sprintf("member %d: %v", at+1, err))
			continue
		}
		followers, err := front.FetchMemberStatus(ctx, conn)
		lines = append(lines, fmt.Sprintf("member %d: %+v, followers %+v %v", at+1, report.Status, followers, err))
	}
	return strings.Join(lines, "; ")
}

// proposerName names this operator's proposals together with their number.
const proposerName = "harehook-lab fleet"

// proposeOnce makes a proposal at one member.
func proposeOnce(ctx context.Context, conn *grpc.ClientConn, number uint64, transaction records.Transaction) (cluster.Result, error) {
	command := cluster.Command{Kind: cluster.CommandRecords, Client: proposerName, Seq: number, Writes: transaction.Writes, By: proposerName, Why: "a change of the experiment"}
	return cluster.Call[cluster.Result](ctx, conn, "Propose", command)
}

// leaderOnce asks one member who leads, 0 if it does not know.
func leaderOnce(ctx context.Context, conn *grpc.ClientConn) (uint64, error) {
	report, err := cluster.Call[cluster.StatusReport](ctx, conn, "Status", struct{}{})
	return report.Status.Leader, err
}
