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

// rejectOneIn is the part of the changes that a controller rejects while it is to reject.
const rejectOneIn = 2

// simulatedController is one controller: the real client, and nothing behind it.
type simulatedController struct {
	worker *controllersWorker
	indexedController
	meter *connectionMeter

	mutex        sync.Mutex         // guards all below
	cancel       context.CancelFunc // of the present incarnation; nil: none runs
	stopped      chan struct{}      // closed when that has ended
	incarnation  int                // counts from 1
	rejecting    bool
	lastAccepted event
	records      map[records.Key]*records.Record
}

// perform does something to the controller.
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

// stopAndWait ends the present incarnation, if there is one.
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

// start begins an incarnation, which holds nothing yet.
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
		DialOptions: c.meter.options(),
	})
	if err != nil {
		panic(fmt.Sprintf("client of %s: %v", c.Name, err)) // the setup always has a name, members and a lease
	}
	c.worker.tasks.Go(func() {
		defer close(stopped)
		client.Run(ctx)
	})
}

// seed is another one for each controller and incarnation.
func (c *simulatedController) seed() uint64 {
	return c.worker.setup.Seed<<20 + uint64(c.Index)<<4 + uint64(c.incarnation)
}

// reportEvent queues an event. It waits while the queue is full, so that nothing is lost.
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

// handleJoined is called at the first answer of a member on a stream.
func (c *simulatedController) handleJoined(member string) {
	c.reportEvent(event{Kind: eventJoined, Member: member})
}

// checkRevision rejects some of the changes while the controller is to reject: by name and revision, so that a change
// that is sent again is rejected again.
func (c *simulatedController) checkRevision(revision uint64, _ map[records.Key]*records.Record) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.rejecting {
		return nil
	}
	hash := fnv.New32a()
	fmt.Fprint(hash, c.Name, revision)
	if hash.Sum32()%rejectOneIn != 0 {
		return nil
	}
	return fmt.Errorf("revision %d is refused by the experiment", revision)
}

// handleAccepted reports the revision held and the digest of its records. The digest is computed only where records have
// come.
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

// finalEvent is what the controller held at its end, its digest computed anew.
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

// countOutside counts records that are held but not of a scope.
func countOutside(scope records.Scope, received map[records.Key]*records.Record) (count int) {
	for _, record := range received {
		if !scope.Contains(record) {
			count++
		}
	}
	return count
}
