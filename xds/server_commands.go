package xds

import (
	"maps"
	"slices"

	"harehook.dev/harehook/controller"
)

// noNonce is the nonce of a batch that requests no acknowledgement.
const noNonce = -1

// ApplyCommands applies the commands of one iteration of the controller's event loop: it updates the routing tables,
// binds sidecars to tables and sends the responses that are due to the affected sidecars. The error is that of
// [Compiler.Snapshot].
func (s *Server) ApplyCommands(now float64, batch []controller.Command) error {
	nonce := noNonce
	affected := map[int]bool{}
	rebound := map[int]bool{} // bound to a different table than before
	for _, command := range batch {
		switch command.Kind {
		case controller.RequestAck:
			nonce = command.Nonce
		case controller.BindProxy:
			c := s.connectedSidecar(command.Proxy)
			if c == nil {
				continue
			}
			rebound[command.Proxy] = !c.bound || c.table != command.Table
			c.table = command.Table
			c.bound = true
			affected[command.Proxy] = true
		}
	}
	changedTables := s.Compiler.ApplyCommands(batch)
	for _, c := range s.sidecars {
		if c.stream != nil && c.bound && changedTables[c.table] {
			affected[c.number] = true
		}
	}
	return s.setTargets(now, nonce, affected, rebound)
}

// SetAgreedRoutes sends the routes of a routing revision to all sidecars. The error is that of [Compiler.Snapshot].
func (s *Server) SetAgreedRoutes(now float64, routingRevision uint64, routes []Route) error {
	s.Compiler.SetAgreedRoutes(routingRevision, routes)
	affected := map[int]bool{}
	for _, c := range s.sidecars {
		if c.stream != nil && c.bound {
			affected[c.number] = true
		}
	}
	return s.setTargets(now, noNonce, affected, nil)
}

// setTargets sets the targets of the affected sidecars to the snapshots of their tables and sends the responses that
// are due. The nonce is pending for each of these sidecars until it has accepted its target.
func (s *Server) setTargets(now float64, nonce int, affected, rebound map[int]bool) error {
	snapshots := map[int]*Snapshot{} // by table: compiled once for all sidecars of the table
	for _, proxy := range slices.Sorted(maps.Keys(affected)) {
		c := s.sidecars[proxy]
		target := snapshots[c.table]
		if target == nil {
			var err error
			target, err = s.Compiler.Snapshot(c.table)
			if err != nil {
				return err
			}
			snapshots[c.table] = target
		}
		c.setTarget(target, nonce, rebound[proxy])
		s.sendDue(now, c)
	}
	return nil
}

// setTarget sets the target of a sidecar and adds the nonce to its pending acknowledgements.
func (c *sidecar) setTarget(target *Snapshot, nonce int, rebound bool) {
	c.stream.SetTarget(target, rebound)
	if rebound {
		// The sequences of the old table are obsolete: a sidecar that has accepted all of the new table no longer uses
		// the old one.
		for index := range c.pendingAcks {
			c.pendingAcks[index].sequence = target.sequence
		}
	}
	if nonce == noNonce {
		return
	}
	c.pendingAcks = append(c.pendingAcks, pendingAck{nonce: nonce, sequence: target.sequence})
	if len(c.pendingAcks) > maxPendingAcks {
		c.pendingAcks = slices.Delete(c.pendingAcks, 0, 1) // covered by the next one
	}
}

// sendDue sends the response that is due to a sidecar, if any, and acknowledges the nonces whose resources the sidecar
// has accepted. A NACK acknowledges no nonce.
func (s *Server) sendDue(now float64, c *sidecar) {
	state, delta := c.stream.Next(now)
	if state != nil {
		s.sink.Send(c.stream.ID, state)
	}
	if delta != nil {
		s.sink.SendDelta(c.stream.ID, delta)
	}
	acknowledged := c.lastAcknowledgedIndex()
	if acknowledged < 0 {
		return
	}
	s.sink.Acknowledged(c.number, c.pendingAcks[acknowledged].nonce)
	c.pendingAcks = slices.Delete(c.pendingAcks, 0, acknowledged+1)
}

// lastAcknowledgedIndex returns the index of the last pending nonce whose resources the sidecar has accepted, or -1 if
// there is none. It covers all earlier nonces.
func (c *sidecar) lastAcknowledgedIndex() int {
	last := -1
	for index, pending := range c.pendingAcks {
		if c.hasAccepted(pending.sequence) {
			last = index
		}
	}
	return last
}

func (c *sidecar) hasAccepted(sequence [NumResourceTypes]uint64) bool {
	for t := range NumResourceTypes {
		if !c.stream.HasAccepted(t, sequence[t]) {
			return false
		}
	}
	return true
}

// connectedSidecar returns the sidecar with the given number, or nil if it is unknown or not connected.
func (s *Server) connectedSidecar(proxy int) *sidecar {
	if proxy < 0 || proxy >= len(s.sidecars) || s.sidecars[proxy].stream == nil {
		return nil
	}
	return s.sidecars[proxy]
}
