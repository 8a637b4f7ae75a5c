// Package records holds the configuration that conductors agree on as records: routes, services, tenants and overrides
// by kind and name, each with the revision that set it. A revision is a place in the group's log, so revisions order
// all changes over all members and no two changes share one.
//
// The package does no I/O and reads no clock: a Store is a function of the transactions applied to it.
package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// maxNameBytes is the longest name of a record, service or zone in bytes.
const maxNameBytes = 200

// Kind is a type of record.
type Kind uint8

// The kinds of record.
const (
	KindRoute Kind = iota + 1
	KindService
	KindTenant
	KindOverride
)

var kindNames = map[Kind]string{KindRoute: "route", KindService: "service", KindTenant: "tenant", KindOverride: "override"}

// String names the kind as operators write it.
func (k Kind) String() string {
	if name, known := kindNames[k]; known {
		return name
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Key names a record.
type Key struct {
	Kind Kind
	Name string
}

// String gives the key as kind/name.
func (k Key) String() string { return k.Kind.String() + "/" + k.Name }

// ParseKey reads a key written as kind/name.
func ParseKey(text string) (Key, error) {
	kindName, name, found := strings.Cut(text, "/")
	if !found {
		return Key{}, fmt.Errorf("%q is no key: expected kind/name", text)
	}
	if err := checkNameSize("name", name); err != nil {
		return Key{}, err
	}
	for kind, known := range kindNames {
		if known == kindName {
			return Key{Kind: kind, Name: name}, nil
		}
	}
	return Key{}, fmt.Errorf("record kind %q is not known", kindName)
}

// MarshalText writes the key as kind/name.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a key written as kind/name.
func (k *Key) UnmarshalText(text []byte) (err error) {
	*k, err = ParseKey(string(text))
	return err
}

// Compare orders keys by kind, then by name.
func (k Key) Compare(other Key) int {
	if k.Kind != other.Kind {
		return int(k.Kind) - int(other.Kind)
	}
	return strings.Compare(k.Name, other.Name)
}

// RouteSpec is the content of a route.
type RouteSpec struct {
	Service     string  `json:"service,omitempty"`
	Prefix      string  `json:"prefix"`
	TimeLimitMS float64 `json:"time_limit_ms"`
	Mutating    bool    `json:"mutating,omitempty"`
	MaxAdmitted float64 `json:"admit,omitempty"` // part of its calls that is let in at most; 0: no limit
}

// ServiceSpec is the content of a service.
type ServiceSpec struct {
	Zones []string `json:"zones,omitempty"` // where it runs
}

// TenantSpec is the content of a tenant.
type TenantSpec struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"` // part of the service's capacity that it may use
}

// The states that an override gives a node.
const (
	StateDraining = "draining"
	StateGone     = "gone"
)

// OverrideSpec is what operators say of a node over the list of nodes.
type OverrideSpec struct {
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	State   string `json:"state"`
}

// Record is one piece of configuration. A record is never changed once it is made.
type Record struct {
	Key
	Revision uint64 // that set it
	Service  string // that it belongs to; empty: it concerns every service
	Zone     string // that it concerns; empty: every zone
	Body     []byte // the spec in its canonical form: JSON, fields in the order of the type, defaults left out
	share    int64  // a tenant's, in parts of shareUnit
}

// New makes a record of a spec, which is a RouteSpec, ServiceSpec, TenantSpec or OverrideSpec as the key's kind says.
func New(key Key, spec any) (*Record, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return Parse(key, body)
}

// Parse makes a record of a spec's JSON, which is checked on its own and brought into canonical form.
func Parse(key Key, body []byte) (*Record, error) { return parseWith(decodeStrictly, key, body) }

// parseCanonical makes a record of a spec that has to be in canonical form already, as one in a snapshot is.
func parseCanonical(key Key, body []byte) (*Record, error) {
	record, err := parseWith(json.Unmarshal, key, body)
	if err == nil && !bytes.Equal(record.Body, body) {
		err = fmt.Errorf("%s: its body is not in canonical form", key)
	}
	return record, err
}

func parseWith(decode specDecoder, key Key, body []byte) (*Record, error) {
	if err := checkNameSize("name", key.Name); err != nil {
		return nil, err
	}
	record := &Record{Key: key}
	var err error
	switch key.Kind {
	case KindRoute:
		err = record.parseRoute(decode, body)
	case KindService:
		err = record.parseService(decode, body)
	case KindTenant:
		err = record.parseTenant(decode, body)
	case KindOverride:
		err = record.parseOverride(decode, body)
	default:
		err = errors.New("its kind is not known")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return record, nil
}

func (r *Record) parseRoute(decode specDecoder, body []byte) error {
	var spec RouteSpec
	if err := decode(body, &spec); err != nil {
		return err
	}
	switch {
	case !strings.HasPrefix(spec.Prefix, "/") || len(spec.Prefix) > maxNameBytes:
		return fmt.Errorf("its prefix has to begin with a slash and be at most %d bytes long", maxNameBytes)
	case !(spec.TimeLimitMS >= 1 && spec.TimeLimitMS <= 600000):
		return errors.New("its time limit has to be between 1 and 600000 ms")
	case !(spec.MaxAdmitted >= 0 && spec.MaxAdmitted <= 1):
		return errors.New("the part that it admits has to be between 0 and 1")
	}
	if err := checkOptionalNameSize("service", spec.Service); err != nil {
		return err
	}
	r.Service = spec.Service
	return r.encode(spec)
}

func (r *Record) parseService(decode specDecoder, body []byte) error {
	var spec ServiceSpec
	if err := decode(body, &spec); err != nil {
		return err
	}
	for _, zone := range spec.Zones {
		if err := checkNameSize("zone", zone); err != nil {
			return err
		}
	}
	slices.Sort(spec.Zones)
	spec.Zones = slices.Compact(spec.Zones)
	r.Service = r.Name
	return r.encode(spec)
}

func (r *Record) parseTenant(decode specDecoder, body []byte) error {
	var spec TenantSpec
	if err := decode(body, &spec); err != nil {
		return err
	}
	if err := checkNameSize("service", spec.Service); err != nil {
		return err
	}
	if !(spec.Share > 0 && spec.Share <= 1) {
		return errors.New("its share has to be over 0 and at most 1")
	}
	r.Service, r.share = spec.Service, int64(spec.Share*shareUnit)
	return r.encode(spec)
}

func (r *Record) parseOverride(decode specDecoder, body []byte) error {
	var spec OverrideSpec
	if err := decode(body, &spec); err != nil {
		return err
	}
	if spec.State != StateDraining && spec.State != StateGone {
		return fmt.Errorf("its state has to be %q or %q", StateDraining, StateGone)
	}
	if err := checkOptionalNameSize("service", spec.Service); err != nil {
		return err
	}
	if err := checkOptionalNameSize("zone", spec.Zone); err != nil {
		return err
	}
	r.Service, r.Zone = spec.Service, spec.Zone
	return r.encode(spec)
}

func (r *Record) encode(spec any) error {
	body, err := json.Marshal(spec)
	r.Body = body
	return err
}

// Route is the content of a record of that kind.
func (r *Record) Route() (spec RouteSpec, err error) {
	err = json.Unmarshal(r.Body, &spec)
	return spec, err
}

// ServiceSpec is the content of a record of that kind.
func (r *Record) ServiceSpec() (spec ServiceSpec, err error) {
	err = json.Unmarshal(r.Body, &spec)
	return spec, err
}

// Tenant is the content of a record of that kind.
func (r *Record) Tenant() (spec TenantSpec, err error) {
	err = json.Unmarshal(r.Body, &spec)
	return spec, err
}

// Override is the content of a record of that kind.
func (r *Record) Override() (spec OverrideSpec, err error) {
	err = json.Unmarshal(r.Body, &spec)
	return spec, err
}

// SameContent tells whether two records are alike but for their revision.
func (r *Record) SameContent(other *Record) bool {
	return r.Key == other.Key && bytes.Equal(r.Body, other.Body)
}

// specDecoder reads a spec's JSON.
type specDecoder func(body []byte, into any) error

// decodeStrictly refuses fields that are not known.
func decodeStrictly(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more than one value")
	}
	return nil
}

func checkNameSize(what, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "\r\n\x00") {
		return fmt.Errorf("a %s has to be 1 to %d bytes on one line", what, maxNameBytes)
	}
	return nil
}

func checkOptionalNameSize(what, name string) error {
	if name == "" {
		return nil
	}
	return checkNameSize(what, name)
}
