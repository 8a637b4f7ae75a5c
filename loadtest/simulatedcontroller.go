package loadtest

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/records"
)

// rejectedChangeOneIn means that a controller in the rejecting state rejects about one change in this many.
const rejectedChangeOneIn = 2

// simulatedController is a controller that consists of the real client alone, without a data plane.
type simulatedController struct {
	worker *controllersWorker
	indexedController
	meter *connectionMeter

	mutex        sync.Mutex         // guards the fields below
	cancel       context.CancelFunc // stops the current incarnation; nil if none runs
	stopped      chan struct{}      // closed when the current incarnation has stopped
	incarnation  int                // starts at 1
	rejecting    bool
	lastAccepted event
	records      map[records.Key]*records.Record
}

// perform performs an action on the controller.
func (c *simulatedController) perform(ctx context.Context, kind actionKind) {
	switch kind {
	case actionRestart:
		c.stopAndWait()
		c.start(ctx)
	case actionReconnect:
		c.meter.closeAll()
	case actionCut:
		c.meter.cut()
	case actionHeal:
		c.meter.heal()
	case actionReject, actionAccept:
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.rejecting = kind == actionReject
	}
}

// stopAndWait stops the current incarnation, if there is one, and waits until it has stopped.
func (c *simulatedController) stopAndWait() {
	c.mutex.Lock()
	cancel := c.cancel
	stopped := c.stopped
	c.cancel = nil
	c.stopped = nil
	c.mutex.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	c.meter.closeAll()
	<-stopped
}

// start starts a new incarnation without records.
func (c *simulatedController) start(ctx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ctx, c.cancel = context.WithCancel(ctx)
	stopped := make(chan struct{})
	c.stopped = stopped
	c.incarnation++
	c.records = nil
	c.lastAccepted = event{}
	c.meter.hasAccepted.Store(false)
	c.reportEvent(event{Kind: eventStarted, Incarnation: c.incarnation})
	client, err := transport.NewClient(transport.Config{
		Name:        c.Name,
		Scope:       c.Scope,
		Members:     c.worker.setup.Members,
		Lease:       c.worker.setup.Lease,
		Seed:        c.seed(),
		Validate:    c.checkRevision,
		Accepted:    c.handleAccepted,
		DialOptions: c.meter.dialOptions(),
	})
	if err != nil {
		panic(fmt.Sprintf("client of %s: %v", c.Name, err)) // the setup always has a name, members and a lease
	}
	c.worker.tasks.Go(func() {
		defer close(stopped)
		client.Run(ctx)
	})
}

// seed returns a seed that differs for each controller and incarnation.
func (c *simulatedController) seed() uint64 {
	return c.worker.setup.Seed<<20 + uint64(c.Index)<<4 + uint64(c.incarnation)
}

// reportEvent queues an event. It blocks while the queue is full, so that no event is lost.
func (c *simulatedController) reportEvent(e event) {
	e.Controller = c.Index
	if e.At == 0 {
		e.At = time.Now().UnixNano()
	}
	if c.worker.hooks.event != nil {
		c.worker.hooks.event(&e)
	}
	select {
	case c.worker.events <- e:
	case <-c.worker.done:
	}
}

// handleJoined reports that a member sent the first response on a stream.
func (c *simulatedController) handleJoined(member string) {
	c.reportEvent(event{Kind: eventJoined, Member: member})
}

// checkRevision rejects some of the changes while the controller is in the rejecting state. The choice depends only on
// the controller's name and the revision, so that a change that is sent again is rejected again.
func (c *simulatedController) checkRevision(revision uint64, _ map[records.Key]*records.Record) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.rejecting {
		return nil
	}
	hash := fnv.New32a()
	fmt.Fprint(hash, c.Name, revision)
	if hash.Sum32()%rejectedChangeOneIn != 0 {
		return nil
	}
	return fmt.Errorf("revision %d is refused by the experiment", revision)
}

// handleAccepted reports an accepted revision and the digest of its records. The digest is recomputed only if records
// were received since the last computation.
func (c *simulatedController) handleAccepted(revision uint64, received map[records.Key]*records.Record) {
	at := time.Now().UnixNano()
	c.mutex.Lock()
	accepted := event{
		Kind:        eventAccepted,
		At:          at,
		Incarnation: c.incarnation,
		Revision:    revision,
		Digest:      c.lastAccepted.Digest,
		Outside:     c.lastAccepted.Outside,
	}
	if c.meter.recordsReceived.Swap(false) || c.records == nil {
		accepted.Digest = DigestOfAll(received)
		accepted.Outside = countOutside(c.Scope, received)
	}
	c.lastAccepted = accepted
	c.records = received
	c.meter.hasAccepted.Store(true)
	c.mutex.Unlock()
	c.reportEvent(accepted)
}

// finalEvent returns the event with the controller's last accepted revision and a newly computed digest of its records.
func (c *simulatedController) finalEvent() event {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return event{
		Kind:        eventFinal,
		Controller:  c.Index,
		At:          time.Now().UnixNano(),
		Incarnation: c.incarnation,
		Revision:    c.lastAccepted.Revision,
		Digest:      DigestOfAll(c.records),
		Outside:     countOutside(c.Scope, c.records),
	}
}

// countOutside returns the number of received records outside a scope.
func countOutside(scope records.Scope, received map[records.Key]*records.Record) (count int) {
	for _, record := range received {
		if !scope.Contains(record) {
			count++
		}
	}
	return count
}
