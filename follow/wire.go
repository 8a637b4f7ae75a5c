// Package follow tells conductors that are not members of the group what the group agrees on. A Server is the part of a
// member: it knows its followers' scopes, leases and the revisions that they accepted, and gives the next message for
// each. A Follower is the part of a conductor that follows. Both are machines without I/O and are handed the time; the
// messages are those of delta xDS.
package follow

import (
	"fmt"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/records"
)

// TypeURL is the type of resource that a stream of followers carries.
const TypeURL = "type.googleapis.com/harehook.config.v1.Record"

// Names in the metadata of a follower's node, and of the resource that marks a response as a whole scope.
const (
	metadataServices = "services"
	metadataZones    = "zones"
	metadataAll      = "all"
	metadataRevision = "revision"
	wholeScopeName   = "scope/whole"
)

const (
	maxScopeNames = 4096 // services or zones that one follower may state
	maxNameBytes  = 200
)

// Hello is what a follower states as its stream begins.
type Hello struct {
	Name     string
	Scope    records.Scope
	Revision uint64 // that it holds, 0 if none
}

// request is the first request of a stream.
func (h Hello) request() *discoveryv3.DeltaDiscoveryRequest {
	fields := map[string]*structpb.Value{
		metadataServices: nameList(h.Scope.Services),
		metadataZones:    nameList(h.Scope.Zones),
		metadataAll:      structpb.NewBoolValue(h.Scope.All),
		metadataRevision: structpb.NewStringValue(formatRevision(h.Revision)),
	}
	return &discoveryv3.DeltaDiscoveryRequest{
		Node:    &corev3.Node{Id: h.Name, UserAgentName: "harehookd", Metadata: &structpb.Struct{Fields: fields}},
		TypeUrl: TypeURL,
	}
}

// parseHello reads the first request of a stream.
func parseHello(request *discoveryv3.DeltaDiscoveryRequest) (hello Hello, err error) {
	if request.GetTypeUrl() != TypeURL {
		return hello, fmt.Errorf("type %.100q is not served here", request.GetTypeUrl())
	}
	hello.Name = request.GetNode().GetId()
	if hello.Name == "" || len(hello.Name) > maxNameBytes {
		return hello, fmt.Errorf("a follower's name has to be 1 to %d bytes", maxNameBytes)
	}
	fields := request.GetNode().GetMetadata().GetFields()
	if hello.Scope.Services, err = parseNames(fields[metadataServices]); err != nil {
		return hello, fmt.Errorf("services: %w", err)
	}
	if hello.Scope.Zones, err = parseNames(fields[metadataZones]); err != nil {
		return hello, fmt.Errorf("zones: %w", err)
	}
	hello.Scope.All = fields[metadataAll].GetBoolValue()
	hello.Scope = hello.Scope.Normal()
	if hello.Revision, err = strconv.ParseUint(fields[metadataRevision].GetStringValue(), 10, 64); err != nil {
		return hello, fmt.Errorf("revision: %w", err)
	}
	return hello, nil
}

func nameList(names []string) *structpb.Value {
	list := &structpb.ListValue{}
	for _, name := range names {
		list.Values = append(list.Values, structpb.NewStringValue(name))
	}
	return structpb.NewListValue(list)
}

func parseNames(value *structpb.Value) (names []string, err error) {
	list := value.GetListValue().GetValues()
	if len(list) > maxScopeNames {
		return nil, fmt.Errorf("%d names, %d at most", len(list), maxScopeNames)
	}
	for _, one := range list {
		name := one.GetStringValue()
		if name == "" || len(name) > maxNameBytes {
			return nil, fmt.Errorf("a name has to be 1 to %d bytes", maxNameBytes)
		}
		names = append(names, name)
	}
	return names, nil
}

func formatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }

// resource is a record on the wire.
func resource(record *records.Record) (*discoveryv3.Resource, error) {
	body, err := anypb.New(wrapperspb.Bytes(record.Body))
	if err != nil {
		return nil, err
	}
	return &discoveryv3.Resource{Name: record.Key.String(), Version: formatRevision(record.Revision), Resource: body}, nil
}

// parseResource reads a record from the wire.
func parseResource(in *discoveryv3.Resource) (*records.Record, error) {
	key, err := records.ParseKey(in.GetName())
	if err != nil {
		return nil, err
	}
	var body wrapperspb.BytesValue
	if err := in.GetResource().UnmarshalTo(&body); err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	record, err := records.Parse(key, body.GetValue())
	if err != nil {
		return nil, err
	}
	if record.Revision, err = strconv.ParseUint(in.GetVersion(), 10, 64); err != nil {
		return nil, fmt.Errorf("%s: revision: %w", key, err)
	}
	return record, nil
}

// Offer is a response as read: what a follower would hold if it accepted it.
type Offer struct {
	Revision uint64
	Nonce    string // empty: a heartbeat, which is not answered
	Whole    bool   // Records are the whole scope; else they are what changed
	Records  []*records.Record
	Removed  []records.Key
}

// response makes the message of an offer.
func (o Offer) response() (*discoveryv3.DeltaDiscoveryResponse, error) {
	out := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: TypeURL, SystemVersionInfo: formatRevision(o.Revision), Nonce: o.Nonce}
	if o.Whole {
		out.Resources = append(out.Resources, &discoveryv3.Resource{Name: wholeScopeName, Version: formatRevision(o.Revision)})
	}
	for _, record := range o.Records {
		one, err := resource(record)
		if err != nil {
			return nil, err
		}
		out.Resources = append(out.Resources, one)
	}
	for _, key := range o.Removed {
		out.RemovedResources = append(out.RemovedResources, key.String())
	}
	return out, nil
}

// parseOffer reads a response.
func parseOffer(in *discoveryv3.DeltaDiscoveryResponse) (offer Offer, err error) {
	if in.GetTypeUrl() != TypeURL {
		return offer, fmt.Errorf("type %.100q was not asked for", in.GetTypeUrl())
	}
	if offer.Revision, err = strconv.ParseUint(in.GetSystemVersionInfo(), 10, 64); err != nil {
		return offer, fmt.Errorf("revision: %w", err)
	}
	offer.Nonce = in.GetNonce()
	for _, one := range in.GetResources() {
		if one.GetName() == wholeScopeName {
			offer.Whole = true
			continue
		}
		record, err := parseResource(one)
		if err != nil {
			return offer, err
		}
		offer.Records = append(offer.Records, record)
	}
	for _, name := range in.GetRemovedResources() {
		key, err := records.ParseKey(name)
		if err != nil {
			return offer, err
		}
		offer.Removed = append(offer.Removed, key)
	}
	return offer, nil
}

// size is what a response costs of the allowance.
func size(response *discoveryv3.DeltaDiscoveryResponse) float64 { return float64(proto.Size(response)) }
