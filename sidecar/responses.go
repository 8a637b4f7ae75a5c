package sidecar

import (
	"fmt"
	"slices"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/xds"
)

// UnexpectedTypeError is returned for a response of a type that the sidecar does not subscribe to.
type UnexpectedTypeError struct{ TypeURL string }

// Error implements error.
func (e *UnexpectedTypeError) Error() string {
	return fmt.Sprintf("response of unexpected type %q", e.TypeURL)
}

// HandleStateOfTheWorld accepts or rejects a response of the state-of-the-world variant. It returns the ACK or NACK,
// followed by the requests for resources that the accepted ones refer to. After an [UnexpectedTypeError] the stream
// must be closed.
func (c *ResourceCache) HandleStateOfTheWorld(response *discoveryv3.DiscoveryResponse) (requests []*discoveryv3.DiscoveryRequest, err error) {
	t, known := xds.ParseTypeURL(response.GetTypeUrl())
	if !known {
		return nil, &UnexpectedTypeError{TypeURL: response.GetTypeUrl()}
	}
	reply := &discoveryv3.DiscoveryRequest{TypeUrl: t.TypeURL(), ResponseNonce: response.GetNonce()}
	received, rejection := c.parseResources(t, response.GetResources(), nil)
	if rejection == nil {
		c.accept(t, c.nextStateOfTheWorld(t, received))
		c.setVersions[t] = response.GetVersionInfo()
	} else {
		reply.ErrorDetail = nackDetail(rejection)
	}
	c.nonces[t] = response.GetNonce()
	c.subscribed[t] = c.wantedNames(t)
	reply.VersionInfo = c.setVersions[t]
	reply.ResourceNames = c.subscribed[t]
	requests = append(requests, reply)
	for other := range xds.NumResourceTypes {
		names := c.wantedNames(other)
		if other == t || !c.canSubscribe(other) || slices.Equal(names, c.subscribed[other]) {
			continue
		}
		c.subscribed[other] = names
		requests = append(requests, &discoveryv3.DiscoveryRequest{
			TypeUrl:       other.TypeURL(),
			VersionInfo:   c.setVersions[other],
			ResponseNonce: c.nonces[other],
			ResourceNames: names,
		})
	}
	return requests, nil
}

// nextStateOfTheWorld returns the resources of a type to accept after a response. A response contains all clusters or
// listeners, but only the changed endpoints or routes.
func (c *ResourceCache) nextStateOfTheWorld(t xds.ResourceType, received map[string]CachedResource) map[string]CachedResource {
	if t == xds.Endpoints || t == xds.Routes {
		return c.merge(t, received)
	}
	return received
}

// HandleDelta accepts or rejects a response of the delta variant. Its results are like those of
// [ResourceCache.HandleStateOfTheWorld].
func (c *ResourceCache) HandleDelta(response *discoveryv3.DeltaDiscoveryResponse) (requests []*discoveryv3.DeltaDiscoveryRequest, err error) {
	t, known := xds.ParseTypeURL(response.GetTypeUrl())
	if !known {
		return nil, &UnexpectedTypeError{TypeURL: response.GetTypeUrl()}
	}
	reply := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: t.TypeURL(), ResponseNonce: response.GetNonce()}
	bodies := make([]*anypb.Any, 0, len(response.GetResources()))
	versions := map[string]string{}
	for _, resource := range response.GetResources() {
		bodies = append(bodies, resource.GetResource())
		versions[resource.GetName()] = resource.GetVersion()
	}
	received, rejection := c.parseResources(t, bodies, versions)
	if rejection == nil {
		next := c.merge(t, received)
		for _, name := range response.GetRemovedResources() {
			delete(next, name)
		}
		c.accept(t, next)
	} else {
		reply.ErrorDetail = nackDetail(rejection)
	}
	requests = append(requests, reply)
	for other := range xds.NumResourceTypes {
		if request := c.subscriptionChange(other); request != nil {
			requests = append(requests, request)
		}
	}
	return requests, nil
}

// subscriptionChange returns the request that changes the subscription of a type to the wanted names, or nil if it
// needs no change.
func (c *ResourceCache) subscriptionChange(t xds.ResourceType) *discoveryv3.DeltaDiscoveryRequest {
	wanted := c.wantedNames(t)
	subscribed := c.subscribed[t]
	first := subscribed == nil
	if first && !c.canSubscribe(t) || slices.Equal(wanted, subscribed) {
		return nil
	}
	request := &discoveryv3.DeltaDiscoveryRequest{
		TypeUrl:                  t.TypeURL(),
		ResourceNamesSubscribe:   missingFrom(subscribed, wanted),
		ResourceNamesUnsubscribe: missingFrom(wanted, subscribed),
	}
	if first {
		request.InitialResourceVersions = c.versions(t)
	}
	c.subscribed[t] = wanted
	return request
}

// missingFrom returns those of names that are not in list.
func missingFrom(list, names []string) (missing []string) {
	for _, name := range names {
		if !slices.Contains(list, name) {
			missing = append(missing, name)
		}
	}
	return missing
}
