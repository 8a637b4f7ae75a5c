package transport

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// errIncompleteConfig is returned by [NewClient] for a configuration that lacks a required value.
var errIncompleteConfig = errors.New("name, members and a lease greater than 0 are required")

// Config holds the configuration of a [Client]. Name, Members and Lease are required.
type Config struct {
	Name    string
	Scope   records.Scope
	Members []string      // addresses of the group's members
	Lease   time.Duration // lease duration, the same as on the members
	Seed    uint64        // seed of the member order and of the backoff

	// Validate returns an error if records cannot be used; the update is then rejected. If nil, all updates are accepted.
	Validate configsync.Validator
	// Accepted is called on Run's goroutine with each accepted revision, in order. It must not modify or retain the map:
	// the next delta changes it.
	Accepted func(revision uint64, accepted map[records.Key]*records.Record)
	// StaleChanged is called when the lease has expired (true) and when it is valid again (false). It must not block.
	StaleChanged func(stale bool)

	Credentials credentials.TransportCredentials // if nil, connections are not encrypted
	DialOptions []grpc.DialOption                // in addition to the client's own
	Log         *zap.Logger                      // if nil, nothing is logged
}

// Client follows the group for one controller. Run drives it; the other methods are safe for concurrent use.
type Client struct {
	config  Config
	log     *zap.Logger
	backoff *configsync.Backoff // used only by Run's goroutine

	// Traffic counts the bytes on the wire since the client was created.
	Traffic Traffic

	stateMutex sync.Mutex // guards the fields below
	running    bool
	leaseTimer *time.Timer // calls checkLease
	follower   *configsync.Follower
	member     string // the member that responds; empty while there is none
	stale      bool   // value of the last call of StaleChanged, initially true
	failovers  uint64
	lastError  error
}

// ClientStatus describes the state of a client.
type ClientStatus struct {
	Member             string // the member that is followed; empty while there is none
	Revision           uint64 // last accepted revision
	Stale              bool   // the lease has expired
	Accepted, Rejected uint64 // number of updates
	Failovers          uint64 // number of streams that ended after the member had responded
	LastError          error  // why the last stream to a member ended
}

// NewClient returns a client without records. It returns an error if the configuration lacks a required value.
func NewClient(config Config) (*Client, error) {
	if config.Name == "" || len(config.Members) == 0 || config.Lease <= 0 {
		return nil, errIncompleteConfig
	}
	log := config.Log
	if log == nil {
		log = zap.NewNop()
	}
	return &Client{
		config:   config,
		log:      log,
		backoff:  configsync.NewBackoff(config.Members, config.Seed),
		follower: configsync.NewFollower(config.Name, config.Scope, config.Lease, config.Validate),
		stale:    true,
	}, nil
}

// Status returns the client's state.
func (c *Client) Status() ClientStatus {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	return ClientStatus{
		Member:    c.member,
		Revision:  c.follower.Revision(),
		Stale:     c.follower.Stale(time.Now()),
		Accepted:  c.follower.Accepted,
		Rejected:  c.follower.Rejected,
		Failovers: c.failovers,
		LastError: c.lastError,
	}
}

// RoutingRevision returns the revision at which a route of the scope last changed, as of the accepted revision. During
// a call of Config.Accepted it belongs to the revision passed to that call.
func (c *Client) RoutingRevision() uint64 {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	return c.follower.RoutingRevision()
}

// Run follows one member at a time until ctx is done.
func (c *Client) Run(ctx context.Context) {
	c.startLeaseTimer()
	defer c.stopLeaseTimer()
	for ctx.Err() == nil {
		member := c.backoff.Member()
		err := c.followMember(ctx, member)
		if ctx.Err() != nil {
			return
		}
		delay := c.backoff.Failed()
		c.memberFailed(member, err, delay)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// memberFailed records why the stream to a member ended.
func (c *Client) memberFailed(member string, err error, delay time.Duration) {
	c.stateMutex.Lock()
	if c.member != "" {
		c.failovers++
	}
	c.member = ""
	c.lastError = err
	c.stateMutex.Unlock()
	c.log.Info("stream to member failed", zap.String("member", member), zap.Error(err), zap.Duration("backoff", delay))
}

// memberAnswered records that a member has sent the first response of a stream.
func (c *Client) memberAnswered(member string) {
	c.backoff.Succeeded()
	c.stateMutex.Lock()
	c.member = member
	c.stateMutex.Unlock()
	c.log.Info("following member", zap.String("member", member))
}

// handshakeRequest returns the first request of a stream.
func (c *Client) handshakeRequest() *request {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	return c.follower.Begin(time.Now())
}

// renewRequest returns a request that renews the lease.
func (c *Client) renewRequest() *request {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	return c.follower.Renew(time.Now())
}

// renewInterval returns the interval between lease renewals.
func (c *Client) renewInterval() time.Duration {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	return c.follower.RenewInterval()
}

// receive handles a response, calls the callbacks of the configuration, and returns the reply, nil if there is none.
func (c *Client) receive(in *response) (reply *request, err error) {
	c.stateMutex.Lock()
	now := time.Now()
	reply, accepted, err := c.follower.Receive(in)
	revision := c.follower.Revision()
	acceptedRecords := c.follower.Records()
	recovered := c.stale && !c.follower.Stale(now)
	if recovered {
		c.stale = false
	}
	c.stateMutex.Unlock()
	if isHeartbeat(in) {
		c.leaseTimer.Reset(c.config.Lease)
	}
	if recovered && c.config.StaleChanged != nil {
		c.config.StaleChanged(false)
	}
	if accepted && c.config.Accepted != nil {
		c.config.Accepted(revision, acceptedRecords)
	}
	return reply, err
}

// isHeartbeat reports whether a response renews the lease.
func isHeartbeat(in *response) bool { return in.GetNonce() == "" }
