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

// errIncompleteConfig is what [NewClient] returns for a configuration without what it needs.
var errIncompleteConfig = errors.New("a follower needs a name, members and the length of their leases")

// Config is the configuration of a [Client]. Name, Members and Lease are required.
type Config struct {
	Name    string
	Scope   records.Scope
	Members []string      // addresses of the group's members
	Lease   time.Duration // the members'
	Seed    uint64        // of the order of members and of the backoff

	// Validate returns why records can't be used: the update is rejected then. Nil accepts all.
	Validate configsync.Validator
	// Accepted is called with each revision that was accepted, in order, by Run's goroutine. It must not change the map,
	// nor retain it: the next delta changes it.
	Accepted func(revision uint64, accepted map[records.Key]*records.Record)
	// StaleChanged is called when the lease has run out (true) and when there is one again (false). It must not block.
	StaleChanged func(stale bool)

	Credentials credentials.TransportCredentials // nil: plain text
	DialOptions []grpc.DialOption                // in addition to the client's own
	Log         *zap.Logger                      // nil: no log
}

// Client follows the group for one controller. Run drives it; the other methods may be called from any goroutine.
type Client struct {
	config  Config
	log     *zap.Logger
	backoff *configsync.Backoff // Run's goroutine only

	// Traffic counts the bytes on the wire since the client was made.
	Traffic Traffic

	stateMutex sync.Mutex // guards all below
	running    bool
	leaseTimer *time.Timer // calls checkLease
	follower   *configsync.Follower
	member     string // that answers, empty between two
	stale      bool   // as StaleChanged was told last
	failovers  uint64
	lastError  error
}

// ClientStatus is the state of a client.
type ClientStatus struct {
	Member             string // that is followed, empty between two
	Revision           uint64 // accepted
	Stale              bool   // the lease has run out
	Accepted, Rejected uint64 // updates
	Failovers          uint64 // how often a member that had answered was left
	LastError          error  // for which a member was left last
}

// NewClient returns a client without records. It returns an error if the configuration lacks what is required.
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

// RoutingRevision is the revision at which a route of the scope last changed, as of the accepted revision. Within
// Config.Accepted it is that of the revision that was accepted.
func (c *Client) RoutingRevision() uint64 {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	return c.follower.RoutingRevision()
}

// Run follows members, one at a time, until ctx ends.
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

// memberFailed records why a member was left.
func (c *Client) memberFailed(member string, err error, delay time.Duration) {
	c.stateMutex.Lock()
	if c.member != "" {
		c.failovers++
	}
	c.member = ""
	c.lastError = err
	c.stateMutex.Unlock()
	c.log.Info("member left", zap.String("member", member), zap.Error(err), zap.Duration("backoff", delay))
}

// memberAnswered records that a member sent its first response.
func (c *Client) memberAnswered(member string) {
	c.backoff.Succeeded()
	c.stateMutex.Lock()
	c.member = member
	c.stateMutex.Unlock()
	c.log.Info("member followed", zap.String("member", member))
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

// renewInterval is the interval between renewals.
func (c *Client) renewInterval() time.Duration {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	return c.follower.RenewInterval()
}

// receive handles a response and calls back what came of it.
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

// isHeartbeat tells whether a response renews the lease.
func isHeartbeat(in *response) bool { return in.GetNonce() == "" }
