package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// errMemberTimeout says that a member was not heard for a lease's time.
var errMemberTimeout = errors.New("the member was not heard for a lease's time")

// Config is what a client is made of. Name, Scope, Members and Lease are needed.
type Config struct {
	Name    string
	Scope   records.Scope
	Members []string      // addresses of the group's members
	Lease   time.Duration // that of the members
	Seed    uint64        // of the order in which members are asked and of the pauses between

	// Validate says why records can't be used: they are refused then.
	Validate configsync.Validator
	// Accepted is told each revision that was accepted, from Run's goroutine and in order. The map must not be changed,
	// and not be kept after the call: the next change is made in it.
	Accepted func(revision uint64, held map[records.Key]*records.Record)
	// StaleChanged is told when the lease has run out (true) and when there is one again (false). It must not block.
	StaleChanged func(stale bool)

	Credentials credentials.TransportCredentials // nil: plain
	DialOptions []grpc.DialOption                // further ones
	Log         *zap.Logger                      // nil: none
}

// Client follows the group for one conductor. Run drives it; the other methods may be called from any goroutine.
type Client struct {
	config  Config
	log     *zap.Logger
	backoff *configsync.Backoff

	// Traffic is what went over the wire since the client was made.
	Traffic Traffic

	stateMutex sync.Mutex
	running    bool
	leaseTimer *time.Timer // of the lease
	follower   *configsync.Follower
	member     string
	stale      bool
	failovers  uint64
	lastError  error
}

// ClientStatus is what a client knows of itself.
type ClientStatus struct {
	Member             string // that is followed, empty between two
	Revision           uint64
	Stale              bool
	Accepted, Rejected uint64 // offers
	Failovers          uint64 // how often a member that answered was left
	LastError          error  // for which one was left last
}

// NewClient makes a client that holds nothing.
func NewClient(config Config) (*Client, error) {
	if config.Name == "" || len(config.Members) == 0 || config.Lease <= 0 {
		return nil, errors.New("a follower needs a name, members and the length of their leases")
	}
	log := config.Log
	if log == nil {
		log = zap.NewNop()
	}
	return &Client{
		config: config, log: log,
		backoff:  configsync.NewBackoff(config.Members, config.Seed),
		follower: configsync.NewFollower(config.Name, config.Scope, config.Lease, config.Validate),
		stale:    true,
	}, nil
}

// Status tells how the client is doing.
func (c *Client) Status() ClientStatus {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	return ClientStatus{
		Member: c.member, Revision: c.follower.Revision(), Stale: c.follower.Stale(time.Now()),
		Accepted: c.follower.Accepted, Rejected: c.follower.Rejected,
		Failovers: c.failovers, LastError: c.lastError,
	}
}

// RoutingRevision is the revision at which a route of the scope last changed, as of the revision held. Within Accepted it
// is that of the revision that was accepted.
func (c *Client) RoutingRevision() uint64 {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	return c.follower.RoutingRevision()
}

// Run follows members, one at a time, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.stateMutex.Lock()
	c.leaseTimer, c.running = time.AfterFunc(c.config.Lease, c.checkLease), true
	c.stateMutex.Unlock()
	defer c.stopLeaseTimer()
	for ctx.Err() == nil {
		member := c.backoff.Member()
		err := c.followMember(ctx, member)
		if ctx.Err() != nil {
			return
		}
		pause := c.backoff.Failed()
		c.memberFailed(member, err, pause)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *Client) stopLeaseTimer() {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	c.running = false
	c.leaseTimer.Stop()
}

func (c *Client) memberFailed(member string, err error, pause time.Duration) {
	c.stateMutex.Lock()
	if c.member != "" {
		c.failovers++
	}
	c.member, c.lastError = "", err
	c.stateMutex.Unlock()
	c.log.Info("member left", zap.String("member", member), zap.Error(err), zap.Duration("pause", pause))
}

// followMember is one stream to one member. It gives the reason for which it ended.
func (c *Client) followMember(ctx context.Context, member string) error {
	conn, err := grpc.NewClient("passthrough:///"+member, append(dialOptions(c.config.Credentials, &c.Traffic), c.config.DialOptions...)...)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	link := &memberStream{client: c, cancel: cancel, responses: make(chan *response)}
	opening := link.deadline()
	link.grpcStream, err = discoveryv3.NewAggregatedDiscoveryServiceClient(conn).DeltaAggregatedResources(ctx)
	opening.Stop()
	if err != nil {
		return streamError(ctx, err)
	}
	ended := make(chan error, 1)
	go func() { ended <- link.receive(ctx) }()
	if err = link.sendHandshake(ended); err == nil {
		err = link.run(ctx, member, ended)
	}
	cancel(nil)
	if !link.receiverDone {
		<-ended // nothing of this stream goes on beside the next one
	}
	return streamError(ctx, err)
}

// streamError is why a stream ended: its deadline's where that has ended it.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// memberStream is a stream to a member.
type memberStream struct {
	client       *Client
	grpcStream   discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
	cancel       context.CancelCauseFunc
	responses    chan *response
	receiverDone bool // the receiving goroutine has told its end
}

// deadline ends the stream after a lease's time unless it is stopped.
func (l *memberStream) deadline() *time.Timer {
	return time.AfterFunc(l.client.config.Lease, func() { l.cancel(errMemberTimeout) })
}

// send sends a request; one that blocks for a lease's time ends the stream.
func (l *memberStream) send(out *request) error {
	timer := l.deadline()
	defer timer.Stop()
	return l.grpcStream.Send(out)
}

// sendHandshake sends the first request.
func (l *memberStream) sendHandshake(ended <-chan error) error {
	l.client.stateMutex.Lock()
	out := l.client.follower.Begin(time.Now())
	l.client.stateMutex.Unlock()
	if err := l.send(out); err != nil {
		return l.sendError(err, ended)
	}
	return nil
}

// receive hands on what comes until the stream ends.
func (l *memberStream) receive(ctx context.Context) error {
	for {
		in, err := l.grpcStream.Recv()
		if err != nil {
			return err
		}
		select {
		case l.responses <- in:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// run answers what comes and renews the lease, until the stream ends or the member is silent for a lease's time.
func (l *memberStream) run(ctx context.Context, member string, ended <-chan error) error {
	c := l.client
	c.stateMutex.Lock()
	every := c.follower.RenewInterval()
	c.stateMutex.Unlock()
	renew := time.NewTicker(every)
	defer renew.Stop()
	silence := l.deadline()
	defer silence.Stop()
	heard := false
	for {
		select {
		case err := <-ended:
			l.receiverDone = true
			return fmt.Errorf("stream ended: %w", err)
		case <-ctx.Done():
			return ctx.Err()
		case <-renew.C:
			if err := l.renew(); err != nil {
				return l.sendError(err, ended)
			}
		case in := <-l.responses:
			silence.Reset(c.config.Lease)
			reply, err := c.receive(in)
			if err != nil {
				return err
			}
			if !heard {
				heard = true
				c.memberAnswered(member)
			}
			if reply == nil {
				continue
			}
			if err := l.send(reply); err != nil {
				return l.sendError(err, ended)
			}
		}
	}
}

// sendError gives the reason for which nothing can be sent: where the member has ended the stream, it is what is
// received last.
func (l *memberStream) sendError(err error, ended <-chan error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	for {
		select {
		case <-l.responses: // too late to be answered
		case err := <-ended:
			l.receiverDone = true
			return fmt.Errorf("stream ended: %w", err)
		}
	}
}

func (l *memberStream) renew() error {
	l.client.stateMutex.Lock()
	out := l.client.follower.Renew(time.Now())
	l.client.stateMutex.Unlock()
	return l.send(out)
}

// memberAnswered notes that a member answers.
func (c *Client) memberAnswered(member string) {
	c.backoff.Succeeded()
	c.stateMutex.Lock()
	c.member = member
	c.stateMutex.Unlock()
	c.log.Info("member followed", zap.String("member", member))
}

// receive hands a response to the machine and tells of what was accepted.
func (c *Client) receive(in *response) (reply *request, err error) {
	c.stateMutex.Lock()
	now := time.Now()
	reply, accepted, err := c.follower.Receive(now, in)
	revision, held := c.follower.Revision(), c.follower.Records()
	fresh := c.stale && !c.follower.Stale(now)
	if fresh {
		c.stale = false
	}
	c.stateMutex.Unlock()
	if in.GetNonce() == "" { // a heartbeat, which renews the lease
		c.leaseTimer.Reset(c.config.Lease)
	}
	if fresh && c.config.StaleChanged != nil {
		c.config.StaleChanged(false)
	}
	if accepted && c.config.Accepted != nil {
		c.config.Accepted(revision, held)
	}
	return reply, err
}

// checkLease tells, once, that the lease has run out. It is called when that is due.
func (c *Client) checkLease() {
	c.stateMutex.Lock()
	ended := c.follower.Stale(time.Now())
	tell := ended && !c.stale && c.running
	c.stale = c.stale || ended
	if !ended && c.running {
		c.leaseTimer.Reset(c.config.Lease / 10) // it was renewed meanwhile
	}
	c.stateMutex.Unlock()
	if tell && c.config.StaleChanged != nil {
		c.config.StaleChanged(true)
	}
}
