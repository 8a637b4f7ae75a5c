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
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/records"
)

const (
	proposeTimeout = 2 * time.Second  // of one attempt at one member
	answerTimeout  = 60 * time.Second // of all attempts: a leader that was killed has to be replaced
	retryInterval  = 50 * time.Millisecond
)

// proposerName names this operator's proposals together with their number. The group has it in its log.
const proposerName = "harehook-lab fleet"

// errRejected is what propose returns where the group has rejected a transaction.
var errRejected = errors.New("refused")

// groupClient proposes transactions as an operator does: to any member, and to the next one where that does not answer.
type groupClient struct {
	conns     []*grpc.ClientConn // by member
	next      int                // index of the member that is asked next
	proposals uint64             // that were made
}

// newGroupClient connects to the members in the background.
func newGroupClient(addresses []string) (*groupClient, error) {
	g := &groupClient{}
	for _, address := range addresses {
		conn, err := cluster.Dial(address, nil)
		if err != nil {
			return nil, fmt.Errorf("connect to member %s: %w", address, err)
		}
		g.conns = append(g.conns, conn)
	}
	return g, nil
}

// close closes all connections; it may be called on nil.
func (g *groupClient) close() {
	if g == nil {
		return
	}
	for _, conn := range g.conns {
		conn.Close()
	}
}

// propose has the group agree on a transaction and returns its revision. A proposal that got no answer is made again
// under its own name, so that it is applied once. The error is errRejected where the group has rejected it.
func (g *groupClient) propose(ctx context.Context, transaction records.Transaction) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	g.proposals++
	for {
		result, err := g.proposeOnce(ctx, transaction)
		switch {
		case err == nil && result.Rejected != "":
			return 0, fmt.Errorf("%w: %s", errRejected, result.Rejected)
		case err == nil:
			return result.Version, nil
		case status.Code(err) == codes.InvalidArgument:
			return 0, err
		}
		g.next = (g.next + 1) % len(g.conns)
		if waitErr := sleep(ctx, retryInterval); waitErr != nil {
			return 0, fmt.Errorf("%w: %w", waitErr, err)
		}
	}
}

// proposeOnce makes the present proposal at one member.
func (g *groupClient) proposeOnce(ctx context.Context, transaction records.Transaction) (cluster.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command := cluster.Command{
		Kind:   cluster.CommandRecords,
		Client: proposerName,
		Seq:    g.proposals,
		Writes: transaction.Writes,
		By:     proposerName,
		Why:    "a change of the experiment",
	}
	return cluster.Call[cluster.Result](ctx, g.conns[g.next], "Propose", command)
}

// leader waits until a member names a leader.
func (g *groupClient) leader(ctx context.Context) (id uint64, err error) {
	for {
		var lastErr error
		for _, conn := range g.conns {
			report, err := fetchStatus(ctx, conn)
			if err == nil && report.Status.Leader != 0 {
				return report.Status.Leader, nil
			}
			lastErr = err
		}
		if waitErr := sleep(ctx, retryInterval); waitErr != nil {
			return 0, fmt.Errorf("no leader: %w: %w", waitErr, lastErr)
		}
	}
}

// fetchStatus asks one member for its status.
func fetchStatus(ctx context.Context, conn *grpc.ClientConn) (cluster.StatusReport, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return cluster.Call[cluster.StatusReport](ctx, conn, "Status", struct{}{})
}

// memberStatuses is what the members that answer know of their followers.
func (g *groupClient) memberStatuses(ctx context.Context) (statuses []configsync.MemberStatus) {
	for _, conn := range g.conns {
		memberStatus, err := fetchMemberStatus(ctx, conn)
		if err == nil {
			statuses = append(statuses, memberStatus)
		}
	}
	return statuses
}

// fetchMemberStatus asks one member for what it knows of its followers.
func fetchMemberStatus(ctx context.Context, conn *grpc.ClientConn) (configsync.MemberStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return transport.FetchMemberStatus(ctx, conn)
}

// describeStatus says what each member knows of the group and of its followers, for an error.
func (g *groupClient) describeStatus(ctx context.Context) string {
	var lines []string
	for index, conn := range g.conns {
		report, err := fetchStatus(ctx, conn)
		if err != nil {
			lines = append(lines, fmt.Sprintf("member %d: %v", index+1, err))
			continue
		}
		followers, err := fetchMemberStatus(ctx, conn)
		lines = append(lines, fmt.Sprintf("member %d: %+v, followers %+v %v", index+1, report.Status, followers, err))
	}
	return strings.Join(lines, "; ")
}
