package xds

import (
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"
)

// HandleDelta handles a request of the delta variant: a change of subscriptions, an ACK or a NACK. After an error
// ([UnsupportedTypeError], [TooManyNamesError]) the caller must close the stream.
func (s *Stream) HandleDelta(now float64, r *discoveryv3.DeltaDiscoveryRequest) error {
	t, known := ParseTypeURL(r.GetTypeUrl())
	if !known {
		return &UnsupportedTypeError{TypeURL: r.GetTypeUrl()}
	}
	sub := &s.subscriptions[t]
	names := len(sub.names) + len(r.GetResourceNamesSubscribe()) + len(r.GetInitialResourceVersions())
	if names > maxSubscribedNames {
		return &TooManyNamesError{Names: names}
	}
	first := !sub.subscribed
	if first {
		sub.initDelta(t, r)
	} else if r.GetResponseNonce() != "" {
		s.handleAnswer(now, sub, r.GetResponseNonce(), r.GetErrorDetail())
	}
	// Changes of subscriptions apply even if the answer is unmatched.
	sub.subscribe(r.GetResourceNamesSubscribe(), first)
	sub.unsubscribe(r.GetResourceNamesUnsubscribe())
	return nil
}

// initDelta handles the first request of a type. A sidecar that states its initial resource versions receives only the
// resources that differ from them.
func (sub *subscription) initDelta(t ResourceType, r *discoveryv3.DeltaDiscoveryRequest) {
	sub.subscribed = true
	sub.firstResponseDue = len(r.GetInitialResourceVersions()) == 0
	sub.wildcard = len(r.GetResourceNamesSubscribe()) == 0
	for name, version := range r.GetInitialResourceVersions() {
		sub.accepted[name] = &Resource{Type: t, Name: name, Version: version}
	}
}

// subscribe adds names. The resource of an added name is sent even if the sidecar has already accepted its version.
func (sub *subscription) subscribe(names []string, first bool) {
	for _, name := range names {
		if name == wildcard {
			sub.wildcard = true
			continue
		}
		if !first {
			sub.drop(name)
		}
		sub.names[name] = true
		sub.unansweredNames[name] = true
	}
}

// unsubscribe removes names. The sidecar drops the resources to which it is no longer subscribed.
func (sub *subscription) unsubscribe(names []string) {
	for _, name := range names {
		if name == wildcard {
			sub.unsubscribeWildcard()
			continue
		}
		delete(sub.names, name)
		delete(sub.unansweredNames, name)
		if !sub.wildcard {
			sub.drop(name)
		}
	}
}

func (sub *subscription) unsubscribeWildcard() {
	sub.wildcard = false
	for name := range sub.accepted {
		if !sub.names[name] {
			sub.drop(name)
		}
	}
}

// deltaResponse returns the pending response as a message of the delta variant.
func (sub *subscription) deltaResponse(t ResourceType, removed []string) *discoveryv3.DeltaDiscoveryResponse {
	response := &discoveryv3.DeltaDiscoveryResponse{
		TypeUrl:           t.TypeURL(),
		Nonce:             sub.pending.nonce,
		SystemVersionInfo: sub.pending.setVersion,
		RemovedResources:  removed,
	}
	for _, name := range sub.pending.changed {
		resource := sub.pending.acceptedAfter[name]
		body := &anypb.Any{TypeUrl: resource.Body.GetTypeUrl(), Value: resource.Body.GetValue()}
		response.Resources = append(response.Resources, &discoveryv3.Resource{
			Name:     name,
			Version:  resource.Version,
			Resource: body,
		})
	}
	return response
}
