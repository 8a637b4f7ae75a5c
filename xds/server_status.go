package xds

// SidecarStatus describes the state of one sidecar to operators.
type SidecarStatus struct {
	ID, Zone                      string
	Number, Table                 int // Table is valid if Bound is set
	Bound, Connected, Delta       bool
	DisconnectedSeconds           float64 // since its last stream ended
	Unmatched, Rejected, Accepted uint64  // answers on its stream: unmatched ones, NACKs and ACKs
	Unacknowledged                int     // number of pending nonces of the planner
	Resources                     []ResourceStatus
}

// Sidecars returns the status of all known sidecars, sorted by id.
func (s *Server) Sidecars(now float64) (statuses []SidecarStatus) {
	for _, id := range sortedKeys(s.numbers) {
		statuses = append(statuses, s.sidecars[s.numbers[id]].status(now))
	}
	return statuses
}

func (c *sidecar) status(now float64) SidecarStatus {
	status := SidecarStatus{
		ID:             c.id,
		Zone:           c.zone,
		Number:         c.number,
		Table:          c.table,
		Bound:          c.bound,
		Connected:      c.stream != nil,
		Unacknowledged: len(c.pendingAcks),
		Resources:      c.lastResources,
	}
	if c.stream == nil {
		status.DisconnectedSeconds = now - c.disconnectedAt
		return status
	}
	status.Delta = c.stream.Delta
	status.Unmatched = c.stream.Unmatched
	status.Rejected = c.stream.Rejected
	status.Accepted = c.stream.Accepted
	status.Resources = c.stream.Resources(now)
	return status
}
