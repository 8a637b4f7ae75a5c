package xds

import (
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// HandleStateOfTheWorld handles a request of the state-of-the-world variant: a subscription, an ACK or a NACK. After an
// error ([UnsupportedTypeError], [TooManyNamesError]) the caller must close the stream.
func (s *Stream) HandleStateOfTheWorld(now float64, r *discoveryv3.DiscoveryRequest) error {
	t, known := ParseTypeURL(r.GetTypeUrl())
	if !known {
		return &UnsupportedTypeError{TypeURL: r.GetTypeUrl()}
	}
	if len(r.GetResourceNames()) > maxSubscribedNames {
		return &TooManyNamesError{Names: len(r.GetResourceNames())}
	}
	sub := &s.subscriptions[t]
	first := !sub.subscribed
	nonce := r.GetResponseNonce()
	switch {
	case first:
		sub.subscribed = true
		sub.firstResponseDue = true
	case nonce != "" && nonce != sub.lastNonce:
		// An answer to an older response is ignored, including its names: an answer to the newest response follows.
		s.Unmatched++
		return nil
	case nonce != "" && sub.pending != nil:
		s.handleAnswer(now, sub, nonce, r.GetErrorDetail())
	}
	sub.setNames(t, r.GetResourceNames(), first)
	if first && r.GetVersionInfo() != "" {
		s.handleStatedVersion(t, r.GetVersionInfo())
	}
	return nil
}

// setNames replaces the subscribed names. For fully listed types, a first request without names subscribes to all
// resources (implicit wildcard). Later requests without names keep that subscription; the first one with names ends it.
func (sub *subscription) setNames(t ResourceType, requested []string, first bool) {
	names := map[string]bool{}
	for _, name := range requested {
		names[name] = true
	}
	implicitWildcard := len(names) == 0 && t.isFullyListed() && (first || sub.wildcard)
	all := names[wildcard] || implicitWildcard
	delete(names, wildcard)
	for name := range sub.accepted {
		if !all && !names[name] {
			sub.drop(name)
		}
	}
	for name := range names {
		if !sub.names[name] && !first && !sub.wildcard {
			sub.drop(name) // newly subscribed: the resource must be sent again
		}
	}
	sub.wildcard = all
	sub.names = names
}

// handleStatedVersion handles the version of a set that a sidecar states it accepted on an earlier stream. If there is
// no target yet, or the target has another version, the stated version is only stored.
func (s *Stream) handleStatedVersion(t ResourceType, version string) {
	sub := &s.subscriptions[t]
	if s.target == nil {
		sub.statedVersion = version
		return
	}
	targetSet := sub.filterSubscribed(s.target.Sets[t])
	if targetSet.Version() != version {
		sub.statedVersion = version
		return
	}
	sub.accepted = targetSet
	sub.acceptedSequence = s.target.sequence[t]
	sub.firstResponseDue = false
	sub.statedVersion = ""
}

// stateOfTheWorldResponse returns the pending response as a message of the state-of-the-world variant.
func (sub *subscription) stateOfTheWorldResponse(t ResourceType) *discoveryv3.DiscoveryResponse {
	response := &discoveryv3.DiscoveryResponse{
		TypeUrl:     t.TypeURL(),
		Nonce:       sub.pending.nonce,
		VersionInfo: sub.pending.setVersion,
	}
	names := sub.pending.changed
	if t.isFullyListed() {
		names = sortedKeys(sub.pending.acceptedAfter)
	}
	for _, name := range names {
		if body := sub.pending.acceptedAfter[name].Body; body != nil {
			response.Resources = append(response.Resources, body)
		}
	}
	return response
}
