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
	requestTimeout  = 2 * time.Second  // for one request to one member
	proposalTimeout = 60 * time.Second // for all attempts of a proposal, including the election after a killed leader
	retryInterval   = 50 * time.Millisecond
)

// proposerName identifies this operator's proposals, together with the proposal's number. The group stores it in its
// log.
const proposerName = "harehook-lab fleet"

// errRejected is returned when the group rejects a transaction.
var errRejected = errors.New("transaction rejected")

// groupClient proposes transactions as an operator does: to any member, and to the next one if that does not respond.
type groupClient struct {
	conns      []*grpc.ClientConn // by member
	nextMember int                // index of the member for the next attempt
	proposals  uint64             // number of proposals made
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

// close closes all connections. It is a no-op on a nil receiver.
func (g *groupClient) close() {
	if g == nil {
		return
	}
	for _, conn := range g.conns {
		conn.Close()
	}
}

// propose proposes a transaction to the group and returns its revision. A proposal without a response is retried with
// the same client name and sequence number, so that it is applied only once. The error is errRejected if the group
// rejects the transaction.
func (g *groupClient) propose(ctx context.Context, transaction records.Transaction) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
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
		g.nextMember = (g.nextMember + 1) % len(g.conns)
		if waitErr := sleep(ctx, retryInterval); waitErr != nil {
			return 0, fmt.Errorf("proposal %d got no result: %w; last error: %w", g.proposals, waitErr, err)
		}
	}
}

// proposeOnce sends the current proposal to one member.
func (g *groupClient) proposeOnce(ctx context.Context, transaction records.Transaction) (cluster.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	command := cluster.Command{
		Kind:   cluster.CommandRecords,
		Client: proposerName,
		Seq:    g.proposals,
		Writes: transaction.Writes,
		By:     proposerName,
		Why:    "a change of the experiment",
	}
	return cluster.Call[cluster.Result](ctx, g.conns[g.nextMember], "Propose", command)
}

// leader waits until a member reports a leader and returns the leader's ID.
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
			return 0, fmt.Errorf("wait for a leader: %w: %w", waitErr, lastErr)
		}
	}
}

// fetchStatus returns the status of one member.
func fetchStatus(ctx context.Context, conn *grpc.ClientConn) (cluster.StatusReport, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return cluster.Call[cluster.StatusReport](ctx, conn, "Status", struct{}{})
}

// memberStatuses returns the follower status of each member that responds.
func (g *groupClient) memberStatuses(ctx context.Context) (statuses []configsync.MemberStatus) {
	for _, conn := range g.conns {
		memberStatus, err := fetchMemberStatus(ctx, conn)
		if err == nil {
			statuses = append(statuses, memberStatus)
		}
	}
	return statuses
}

// fetchMemberStatus returns the status of one member's followers.
func fetchMemberStatus(ctx context.Context, conn *grpc.ClientConn) (configsync.MemberStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return transport.FetchMemberStatus(ctx, conn)
}

// describeStatus returns the group status and follower status of each member, for an error message.
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
