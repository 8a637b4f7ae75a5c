package records

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

const (
	minTimeLimitMS = 1
	maxTimeLimitMS = 600000
)

// shareUnit is the integer that represents the full capacity of a service when the shares of its tenants are summed.
// Integers make the sum independent of the order of changes. A share is rounded down, so that six tenants with a share
// of a sixth fit.
const shareUnit = 1_000_000_000

// RouteSpec is the content of a route.
type RouteSpec struct {
	Service     string  `json:"service,omitempty"`
	Prefix      string  `json:"prefix"`        // of the paths that the route matches; begins with a slash
	TimeLimitMS float64 `json:"time_limit_ms"` // latency objective
	Mutating    bool    `json:"mutating,omitempty"`
	MaxAdmitted float64 `json:"admit,omitempty"` // maximum fraction of its requests that is admitted; 0: no limit
}

// ServiceSpec is the content of a service.
type ServiceSpec struct {
	Zones []string `json:"zones,omitempty"` // in which the service runs
}

// TenantSpec is the content of a tenant.
type TenantSpec struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"` // fraction of the service's capacity that the tenant may use
}

// The states that an override can assign to a node, as they are written on the wire.
const (
	StateDraining = "draining" // the node gets no new requests
	StateGone     = "gone"     // the node counts as removed
)

// OverrideSpec is the content of an override: the state that operators assign to a node. It takes precedence over the
// endpoint list.
type OverrideSpec struct {
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	State   string `json:"state"`
}

// Route returns the content of a route. The error is returned if the body is not valid JSON for a RouteSpec.
func (r *Record) Route() (RouteSpec, error) { return decodeSpec[RouteSpec](r) }

// ServiceSpec returns the content of a service. The error is returned if the body is not valid JSON for a ServiceSpec.
func (r *Record) ServiceSpec() (ServiceSpec, error) { return decodeSpec[ServiceSpec](r) }

// Tenant returns the content of a tenant. The error is returned if the body is not valid JSON for a TenantSpec.
func (r *Record) Tenant() (TenantSpec, error) { return decodeSpec[TenantSpec](r) }

// Override returns the content of an override. The error is returned if the body is not valid JSON for an OverrideSpec.
func (r *Record) Override() (OverrideSpec, error) { return decodeSpec[OverrideSpec](r) }

func decodeSpec[Spec any](r *Record) (Spec, error) {
	var spec Spec
	err := json.Unmarshal(r.Body, &spec)
	return spec, err
}

// specDecoder decodes the JSON of a spec.
type specDecoder func(body []byte, into any) error

// decodeStrictly decodes exactly one JSON value. It rejects unknown fields to detect misspelled ones.
func decodeStrictly(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errSeveralValues
	}
	return nil
}

func (r *Record) parseRoute(decode specDecoder, body []byte) error {
	var spec RouteSpec
	if err := decode(body, &spec); err != nil {
		return err
	}
	if !strings.HasPrefix(spec.Prefix, "/") || len(spec.Prefix) > maxNameBytes {
		return &FieldError{Field: "its prefix", Requirement: fmt.Sprintf("begin with a slash and be at most %d bytes long", maxNameBytes)}
	}
	if !isBetween(spec.TimeLimitMS, minTimeLimitMS, maxTimeLimitMS) {
		return &FieldError{Field: "its time limit", Requirement: fmt.Sprintf("be between %d and %d ms", minTimeLimitMS, maxTimeLimitMS)}
	}
	if !isBetween(spec.MaxAdmitted, 0, 1) {
		return &FieldError{Field: "the part that it admits", Requirement: "be between 0 and 1"}
	}
	if err := checkOptionalName("service", spec.Service); err != nil {
		return err
	}
	r.Service = spec.Service
	return r.encodeBody(spec)
}

func (r *Record) parseService(decode specDecoder, body []byte) error {
	var spec ServiceSpec
	if err := decode(body, &spec); err != nil {
		return err
	}
	for _, zone := range spec.Zones {
		if err := checkName("zone", zone); err != nil {
			return err
		}
	}
	slices.Sort(spec.Zones)
	spec.Zones = slices.Compact(spec.Zones)
	r.Service = r.Name
	return r.encodeBody(spec)
}

func (r *Record) parseTenant(decode specDecoder, body []byte) error {
	var spec TenantSpec
	if err := decode(body, &spec); err != nil {
		return err
	}
	if err := checkName("service", spec.Service); err != nil {
		return err
	}
	if spec.Share == 0 || !isBetween(spec.Share, 0, 1) {
		return &FieldError{Field: "its share", Requirement: "be over 0 and at most 1"}
	}
	r.Service = spec.Service
	r.share = int64(spec.Share * shareUnit)
	return r.encodeBody(spec)
}

func (r *Record) parseOverride(decode specDecoder, body []byte) error {
	var spec OverrideSpec
	if err := decode(body, &spec); err != nil {
		return err
	}
	if spec.State != StateDraining && spec.State != StateGone {
		return &FieldError{Field: "its state", Requirement: fmt.Sprintf("be %q or %q", StateDraining, StateGone)}
	}
	if err := checkOptionalName("service", spec.Service); err != nil {
		return err
	}
	if err := checkOptionalName("zone", spec.Zone); err != nil {
		return err
	}
	r.Service = spec.Service
	r.Zone = spec.Zone
	return r.encodeBody(spec)
}

// encodeBody sets the body to the canonical form of a spec.
func (r *Record) encodeBody(spec any) error {
	body, err := json.Marshal(spec)
	r.Body = body
	return err
}

// isBetween reports whether a value is in a range, including its ends. NaN is in no range.
func isBetween(value, low, high float64) bool { return value >= low && value <= high }
