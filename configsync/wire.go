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

// This file contains all code that depends on the encoding of the messages on the wire.

// TypeURL is the resource type of a follower's stream.
const TypeURL = "type.googleapis.com/harehook.config.v1.Record"

// Names on the wire.
const (
	userAgent = "harehookd"

	// Keys of the node's metadata in a handshake.
	metadataServices = "services"
	metadataZones    = "zones"
	metadataAll      = "all"
	metadataRevision = "revision"

	// Names of resources that are not records: the marker of a full scope, and the resource whose version is the
	// routing revision.
	fullScopeName       = "scope/whole"
	routingRevisionName = "scope/routing"
)

const (
	maxScopeNames = 4096 // maximum number of services or zones in a scope
	maxNameBytes  = 200
)

// Errors for responses that are not valid updates.
var (
	errNoRevision         = errors.New("update revision must be greater than 0")
	errDuplicateFullScope = errors.New("update has more than one full-scope marker")
	errFullScopeRemoves   = errors.New("full scope must not remove records")
	// A missing routing revision cannot be derived from the newest accepted route: it would decrease when that route is
	// removed.
	errRoutingRevisionCount = errors.New("update must have exactly one routing revision")
)

// errInvalidName is returned for names that cannot be shown to operators.
var errInvalidName = fmt.Errorf("name must have 1 to %d bytes and no control characters", maxNameBytes)

// request returns the first request of a stream.
func (h Handshake) request() *discoveryv3.DeltaDiscoveryRequest {
	fields := map[string]*structpb.Value{
		metadataServices: encodeNames(h.Scope.Services),
		metadataZones:    encodeNames(h.Scope.Zones),
		metadataAll:      structpb.NewBoolValue(h.Scope.All),
		metadataRevision: structpb.NewStringValue(formatRevision(h.Revision)),
	}
	return &discoveryv3.DeltaDiscoveryRequest{
		Node:    &corev3.Node{Id: h.Name, UserAgentName: userAgent, Metadata: &structpb.Struct{Fields: fields}},
		TypeUrl: TypeURL,
	}
}

// parseHandshake decodes the first request of a stream.
func parseHandshake(request *discoveryv3.DeltaDiscoveryRequest) (handshake Handshake, err error) {
	if request.GetTypeUrl() != TypeURL {
		return handshake, &UnsupportedTypeError{TypeURL: request.GetTypeUrl()}
	}
	handshake.Name = request.GetNode().GetId()
	if err := checkName(handshake.Name); err != nil {
		return handshake, fmt.Errorf("follower: %w", err)
	}
	fields := request.GetNode().GetMetadata().GetFields()
	if handshake.Scope.Services, err = decodeNames(fields[metadataServices]); err != nil {
		return handshake, fmt.Errorf("services: %w", err)
	}
	if handshake.Scope.Zones, err = decodeNames(fields[metadataZones]); err != nil {
		return handshake, fmt.Errorf("zones: %w", err)
	}
	handshake.Scope.All = fields[metadataAll].GetBoolValue()
	handshake.Scope = handshake.Scope.Normalized()
	handshake.Revision, err = parseRevision(fields[metadataRevision].GetStringValue())
	if err != nil {
		return handshake, fmt.Errorf("revision: %w", err)
	}
	return handshake, nil
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
		return nil, fmt.Errorf("got %d names, maximum %d", len(list), maxScopeNames)
	}
	for _, element := range list {
		name := element.GetStringValue()
		if err := checkName(name); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// checkName returns errInvalidName if a name from the wire cannot be retained and shown to operators.
func checkName(name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, unicode.IsControl) {
		return errInvalidName
	}
	return nil
}

func formatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }

func parseRevision(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) }

// encodeRecord encodes a record as a resource.
func encodeRecord(record *records.Record) (*discoveryv3.Resource, error) {
	body, err := anypb.New(wrapperspb.Bytes(record.Body))
	if err != nil {
		return nil, err
	}
	return &discoveryv3.Resource{
		Name:     record.String(),
		Version:  formatRevision(record.Revision),
		Resource: body,
	}, nil
}

// decodeRecord decodes a record from a resource.
func decodeRecord(resource *discoveryv3.Resource) (*records.Record, error) {
	key, err := records.ParseKey(resource.GetName())
	if err != nil {
		return nil, err
	}
	var body wrapperspb.BytesValue
	if err := resource.GetResource().UnmarshalTo(&body); err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	record, err := records.Parse(key, body.GetValue())
	if err != nil {
		return nil, err
	}
	record.Revision, err = parseRevision(resource.GetVersion())
	if err != nil {
		return nil, fmt.Errorf("%s: revision: %w", key, err)
	}
	return record, nil
}

// response encodes an update.
func (u Update) response() (*discoveryv3.DeltaDiscoveryResponse, error) {
	response := &discoveryv3.DeltaDiscoveryResponse{
		TypeUrl:           TypeURL,
		SystemVersionInfo: formatRevision(u.Revision),
		Nonce:             u.Nonce,
	}
	if u.FullScope {
		response.Resources = append(response.Resources, marker(fullScopeName, u.Revision))
	}
	for _, record := range u.Records {
		resource, err := encodeRecord(record)
		if err != nil {
			return nil, err
		}
		response.Resources = append(response.Resources, resource)
	}
	for _, key := range u.Removed {
		response.RemovedResources = append(response.RemovedResources, key.String())
	}
	if u.Nonce != "" {
		response.Resources = append(response.Resources, marker(routingRevisionName, u.RoutingRevision))
	}
	return response, nil
}

// marker returns a resource that is not a record: it has only a name and a version.
func marker(name string, revision uint64) *discoveryv3.Resource {
	return &discoveryv3.Resource{Name: name, Version: formatRevision(revision)}
}

// parseUpdate decodes a response. For a heartbeat, which has no nonce, it decodes only the revision.
func parseUpdate(response *discoveryv3.DeltaDiscoveryResponse) (update Update, err error) {
	if response.GetTypeUrl() != TypeURL {
		return update, fmt.Errorf("unexpected resource type %.100q", response.GetTypeUrl())
	}
	update.Revision, err = parseRevision(response.GetSystemVersionInfo())
	if err != nil {
		return update, fmt.Errorf("revision: %w", err)
	}
	update.Nonce = response.GetNonce()
	if update.Nonce == "" {
		return update, nil
	}
	if update.Revision == 0 {
		return update, errNoRevision
	}
	resources, err := update.parseMarkers(response.GetResources())
	if err != nil {
		return update, err
	}
	named := make(map[records.Key]bool, len(resources)+len(response.GetRemovedResources()))
	if err := update.parseRecords(resources, named); err != nil {
		return update, err
	}
	return update, update.parseRemoved(response.GetRemovedResources(), named)
}

// parseMarkers decodes the resources that are not records and returns the others.
func (u *Update) parseMarkers(resources []*discoveryv3.Resource) (others []*discoveryv3.Resource, err error) {
	routingRevisions := 0
	others = make([]*discoveryv3.Resource, 0, len(resources))
	for _, resource := range resources {
		switch resource.GetName() {
		case fullScopeName:
			if u.FullScope {
				return nil, errDuplicateFullScope
			}
			u.FullScope = true
		case routingRevisionName:
			routingRevisions++
			if routingRevisions > 1 {
				return nil, errRoutingRevisionCount
			}
			u.RoutingRevision, err = parseRevision(resource.GetVersion())
			if err != nil {
				return nil, fmt.Errorf("routing revision: %w", err)
			}
		default:
			others = append(others, resource)
		}
	}
	switch {
	case routingRevisions == 0:
		return nil, errRoutingRevisionCount
	case u.RoutingRevision > u.Revision:
		return nil, fmt.Errorf("routing revision %d must not be greater than the update's revision %d", u.RoutingRevision, u.Revision)
	}
	return others, nil
}

// parseRecords decodes the records of an update and adds their keys to named.
func (u *Update) parseRecords(resources []*discoveryv3.Resource, named map[records.Key]bool) error {
	for _, resource := range resources {
		record, err := decodeRecord(resource)
		if err != nil {
			return err
		}
		if record.Revision == 0 || record.Revision > u.Revision {
			return fmt.Errorf("%s: revision %d must be between 1 and the update's revision %d", record.Key, record.Revision, u.Revision)
		}
		if named[record.Key] {
			return fmt.Errorf("%s appears more than once in the update", record.Key)
		}
		named[record.Key] = true
		u.Records = append(u.Records, record)
	}
	return nil
}

// parseRemoved decodes the keys that an update removes and adds them to named.
func (u *Update) parseRemoved(names []string, named map[records.Key]bool) error {
	if u.FullScope && len(names) > 0 {
		return errFullScopeRemoves
	}
	for _, name := range names {
		key, err := records.ParseKey(name)
		if err != nil {
			return err
		}
		if named[key] {
			return fmt.Errorf("%s appears more than once in the update", key)
		}
		named[key] = true
		u.Removed = append(u.Removed, key)
	}
	return nil
}

// encodedBytes returns the size of a response on the wire.
func encodedBytes(response *discoveryv3.DeltaDiscoveryResponse) int { return proto.Size(response) }
