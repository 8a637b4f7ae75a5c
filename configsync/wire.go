// Package follow tells conductors that are not members of the group what the group agrees on. A Server is the part of a
// member: it knows its followers' scopes, leases and the revisions that they accepted, and gives the next message for
// each. A Follower is the part of a conductor that follows. Both are machines without I/O and are handed the time; the
// messages are those of delta xDS.
package configsync

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode"

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

// Names in the metadata of a follower's node, and of the resources of a response that are no records: the mark of a whole
// scope, and the one whose version is the scope's routing revision.
const (
	metadataServices    = "services"
	metadataZones       = "zones"
	metadataAll         = "all"
	metadataRevision    = "revision"
	fullScopeName       = "scope/whole"
	routingRevisionName = "scope/routing"
)

const (
	maxScopeNames = 4096 // services or zones that one follower may state
	maxNameBytes  = 200
)

// Handshake is what a follower states as its stream begins.
type Handshake struct {
	Name     string
	Scope    records.Scope
	Revision uint64 // that it holds, 0 if none
}

// request is the first request of a stream.
func (h Handshake) request() *discoveryv3.DeltaDiscoveryRequest {
	fields := map[string]*structpb.Value{
		metadataServices: encodeNames(h.Scope.Services),
		metadataZones:    encodeNames(h.Scope.Zones),
		metadataAll:      structpb.NewBoolValue(h.Scope.All),
		metadataRevision: structpb.NewStringValue(formatRevision(h.Revision)),
	}
	return &discoveryv3.DeltaDiscoveryRequest{
		Node:    &corev3.Node{Id: h.Name, UserAgentName: "harehookd", Metadata: &structpb.Struct{Fields: fields}},
		TypeUrl: TypeURL,
	}
}

// parseHandshake reads the first request of a stream.
func parseHandshake(request *discoveryv3.DeltaDiscoveryRequest) (hello Handshake, err error) {
	if request.GetTypeUrl() != TypeURL {
		return hello, fmt.Errorf("type %.100q is not served here", request.GetTypeUrl())
	}
	hello.Name = request.GetNode().GetId()
	if err := checkName(hello.Name); err != nil {
		return hello, fmt.Errorf("follower: %w", err)
	}
	fields := request.GetNode().GetMetadata().GetFields()
	if hello.Scope.Services, err = decodeNames(fields[metadataServices]); err != nil {
		return hello, fmt.Errorf("services: %w", err)
	}
	if hello.Scope.Zones, err = decodeNames(fields[metadataZones]); err != nil {
		return hello, fmt.Errorf("zones: %w", err)
	}
	hello.Scope.All = fields[metadataAll].GetBoolValue()
	hello.Scope = hello.Scope.Normalized()
	if hello.Revision, err = strconv.ParseUint(fields[metadataRevision].GetStringValue(), 10, 64); err != nil {
		return hello, fmt.Errorf("revision: %w", err)
	}
	return hello, nil
}

func encodeNames(names []string) *structpb.Value {
	list := &structpb.ListValue{}
	for _, name := range names {
		list.Values = append(list.Values, structpb.NewStringValue(name))
	}
	return structpb.NewListValue(list)
}

func decodeNames(value *structpb.Value) (names []string, err error) {
	list := value.GetListValue().GetValues()
	if len(list) > maxScopeNames {
		return nil, fmt.Errorf("%d names, %d at most", len(list), maxScopeNames)
	}
	for _, one := range list {
		name := one.GetStringValue()
		if err := checkName(name); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// checkName refuses names that are no names: they are kept, and shown to operators.
func checkName(name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, unicode.IsControl) {
		return fmt.Errorf("a name has to be 1 to %d bytes without control characters", maxNameBytes)
	}
	return nil
}

func formatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }

// encodeRecord is a record on the wire.
func encodeRecord(record *records.Record) (*discoveryv3.Resource, error) {
	body, err := anypb.New(wrapperspb.Bytes(record.Body))
	if err != nil {
		return nil, err
	}
	return &discoveryv3.Resource{Name: record.Key.String(), Version: formatRevision(record.Revision), Resource: body}, nil
}

// decodeRecord reads a record from the wire.
func decodeRecord(in *discoveryv3.Resource) (*records.Record, error) {
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

// Update is a response as read: what a follower would hold if it accepted it.
type Update struct {
	Revision        uint64
	RoutingRevision uint64 // the revision at which a route of the scope last changed, also where the offer names none
	Nonce           string // empty: a heartbeat, which is not answered
	FullScope       bool   // Records are the whole scope; else they are what changed
	Records         []*records.Record
	Removed         []records.Key
}

// empty tells whether an offer names no record.
func (o Update) empty() bool { return len(o.Records)+len(o.Removed) == 0 }

// response makes the message of an offer.
func (o Update) response() (*discoveryv3.DeltaDiscoveryResponse, error) {
	out := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: TypeURL, SystemVersionInfo: formatRevision(o.Revision), Nonce: o.Nonce}
	if o.FullScope {
		out.Resources = append(out.Resources, &discoveryv3.Resource{Name: fullScopeName, Version: formatRevision(o.Revision)})
	}
	for _, record := range o.Records {
		one, err := encodeRecord(record)
		if err != nil {
			return nil, err
		}
		out.Resources = append(out.Resources, one)
	}
	for _, key := range o.Removed {
		out.RemovedResources = append(out.RemovedResources, key.String())
	}
	if o.Nonce != "" {
		out.Resources = append(out.Resources, &discoveryv3.Resource{Name: routingRevisionName, Version: formatRevision(o.RoutingRevision)})
	}
	return out, nil
}

// Why a response is no offer.
var (
	errNoRevision         = errors.New("an offer has no revision")
	errDuplicateFullScope = errors.New("an offer is marked as a whole scope twice")
	errFullScopeRemoves   = errors.New("a whole scope removes records")
	// A routing revision that is missing can't be replaced by that of the newest route held, which goes down when that
	// route is removed.
	errNoRoutingRevision = errors.New("an offer does not have one routing revision")
)

// parseUpdate reads a response. One without a nonce is a heartbeat, of which only the revision is read.
func parseUpdate(in *discoveryv3.DeltaDiscoveryResponse) (offer Update, err error) {
	if in.GetTypeUrl() != TypeURL {
		return offer, fmt.Errorf("type %.100q was not asked for", in.GetTypeUrl())
	}
	if offer.Revision, err = strconv.ParseUint(in.GetSystemVersionInfo(), 10, 64); err != nil {
		return offer, fmt.Errorf("revision: %w", err)
	}
	offer.Nonce = in.GetNonce()
	if offer.Nonce == "" {
		return offer, nil
	}
	if offer.Revision == 0 {
		return offer, errNoRevision
	}
	resources, err := offer.parseMarkers(in.GetResources())
	if err != nil {
		return offer, err
	}
	named := make(map[records.Key]bool, len(resources)+len(in.GetRemovedResources()))
	if err := offer.parseRecords(resources, named); err != nil {
		return offer, err
	}
	return offer, offer.parseRemoved(in.GetRemovedResources(), named)
}

// parseMarkers reads the resources of an offer that are no records and gives the others.
func (o *Update) parseMarkers(resources []*discoveryv3.Resource) (others []*discoveryv3.Resource, err error) {
	routings := 0
	others = make([]*discoveryv3.Resource, 0, len(resources))
	for _, one := range resources {
		switch one.GetName() {
		case fullScopeName:
			if o.FullScope {
				return nil, errDuplicateFullScope
			}
			o.FullScope = true
		case routingRevisionName:
			if routings++; routings > 1 {
				return nil, errNoRoutingRevision
			}
			if o.RoutingRevision, err = strconv.ParseUint(one.GetVersion(), 10, 64); err != nil {
				return nil, fmt.Errorf("routing revision: %w", err)
			}
		default:
			others = append(others, one)
		}
	}
	switch {
	case routings == 0:
		return nil, errNoRoutingRevision
	case o.RoutingRevision > o.Revision:
		return nil, fmt.Errorf("its routing revision %d is over its revision %d", o.RoutingRevision, o.Revision)
	}
	return others, nil
}

// parseRecords reads the records of an offer.
func (o *Update) parseRecords(resources []*discoveryv3.Resource, named map[records.Key]bool) error {
	for _, one := range resources {
		record, err := decodeRecord(one)
		if err != nil {
			return err
		}
		if record.Revision == 0 || record.Revision > o.Revision {
			return fmt.Errorf("%s: its revision %d is not one of 1 to %d", record.Key, record.Revision, o.Revision)
		}
		if named[record.Key] {
			return fmt.Errorf("%s is named twice", record.Key)
		}
		named[record.Key] = true
		o.Records = append(o.Records, record)
	}
	return nil
}

// parseRemoved reads the keys of the records that an offer removes.
func (o *Update) parseRemoved(names []string, named map[records.Key]bool) error {
	if o.FullScope && len(names) > 0 {
		return errFullScopeRemoves
	}
	for _, name := range names {
		key, err := records.ParseKey(name)
		if err != nil {
			return err
		}
		if named[key] {
			return fmt.Errorf("%s is named twice", key)
		}
		named[key] = true
		o.Removed = append(o.Removed, key)
	}
	return nil
}

// encodedBytes is that of a response on the wire, in bytes.
func encodedBytes(response *discoveryv3.DeltaDiscoveryResponse) int { return proto.Size(response) }

// Content tells what a response carries, for those who measure or check it.
type Content struct {
	FullScope bool // a whole scope
	Records   int  // that it brings or removes
}

// ContentOf looks at a response without reading its records.
func ContentOf(response *discoveryv3.DeltaDiscoveryResponse) Content {
	content := Content{Records: len(response.GetRemovedResources())}
	for _, one := range response.GetResources() {
		switch one.GetName() {
		case fullScopeName:
			content.FullScope = true
		case routingRevisionName:
		default:
			content.Records++
		}
	}
	return content
}
