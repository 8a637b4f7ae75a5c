package followers

import (
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// Planted is a fault that is planted in the program to verify that a checker detects it. Its text is the value of the
// flag --planted of harehook-testbed.
type Planted string

// The faults that can be planted.
const (
	PlantedNone           Planted = ""
	PlantedFullScope      Planted = "whole scope at each change"
	PlantedMissingChange  Planted = "lost change"
	PlantedOlderRevision  Planted = "follower goes back to an older revision"
	PlantedLeases         Planted = "in force ignores leases"
	PlantedContents       Planted = "a member has other contents"
	PlantedNoRedelivery   Planted = "what was refused is not offered again"
	PlantedSlowChanges    Planted = "changes wait behind the crowd"
	PlantedOutOfScope     Planted = "records out of scope are sent"
	PlantedLongLease      Planted = "a follower's lease runs from the answer"
	PlantedSettledTooSoon Planted = "a member that restarted is settled at once"
)

const (
	// plantedSlowChangeDelay is the time that a member waits before it sends a change, with PlantedSlowChanges.
	plantedSlowChangeDelay = 600 * time.Millisecond
	// plantedMissingEvery: one in plantedMissingEvery calls of Since omits a change, with PlantedMissingChange.
	plantedMissingEvery = 20
	// plantedContentsMember is the member whose contents differ, with PlantedContents.
	plantedContentsMember = "m1"
)

// plantedSource is a member's store with a planted fault in the records that it returns.
type plantedSource struct {
	*records.Store
	planted    Planted
	member     string
	sinceCalls int
}

// Since returns the delta of the store, with the planted fault.
func (s *plantedSource) Since(revision uint64, scope records.Scope) records.Delta {
	delta := s.Store.Since(revision, scope)
	s.sinceCalls++
	switch {
	case s.planted == PlantedFullScope:
		delta.Updates = nil
		delta.Available = false
	case s.planted == PlantedMissingChange && s.sinceCalls%plantedMissingEvery == 0 && len(delta.Updates) > 0:
		delta.Updates = delta.Updates[1:]
	}
	return delta
}

// InScope returns the view of the store, with the planted fault.
func (s *plantedSource) InScope(scope records.Scope) records.View {
	view := s.Store.InScope(scope)
	if s.planted == PlantedContents && s.member == plantedContentsMember && len(view.Records) > 0 {
		view.Records = view.Records[1:]
	}
	return view
}

// plantInResponse adds a removed record to a message without records, with PlantedOutOfScope.
func plantInResponse(planted Planted, response *discoveryv3.DeltaDiscoveryResponse) {
	content := configsync.ContentOf(response)
	isProgress := response.GetNonce() != "" && !content.FullScope && content.Records == 0
	if planted == PlantedOutOfScope && isProgress {
		response.RemovedResources = append(response.RemovedResources, "route/of-others")
	}
}

// plantInStatus changes the status that a member reports, with PlantedLeases and PlantedSettledTooSoon.
func plantInStatus(planted Planted, status configsync.MemberStatus) configsync.MemberStatus {
	switch planted {
	case PlantedLeases:
		status.Leases = nil
	case PlantedSettledTooSoon:
		status.Settled = true
	}
	return status
}

// plantedLease returns the lease of a follower, which is three times as long as that of the members with
// PlantedLongLease.
func plantedLease(planted Planted) time.Duration {
	lease := limits(planted).Lease
	if planted == PlantedLongLease {
		lease *= 3
	}
	return lease
}
