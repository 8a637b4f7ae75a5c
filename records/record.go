package records

import (
	"bytes"
	"encoding/json"
)

// recordOverheadBytes is added to the size of each record for its encoded kind, revision and lengths.
const recordOverheadBytes = 16

// Record is one piece of configuration. A record in a Store is immutable, so that readers can share it.
type Record struct {
	Key
	Revision uint64 // at which the record was last set
	Service  string // to which the record belongs; empty: it applies to every service
	Zone     string // to which the record applies; empty: every zone
	Body     []byte // the spec in canonical form: JSON, fields in the order of the type, defaults omitted
	share    int64  // of a tenant, in units of 1/shareUnit
}

// New creates a record from a spec. The spec must be the RouteSpec, ServiceSpec, TenantSpec or OverrideSpec that
// matches the key's kind. The error is a *NameError or a *SpecError.
func New(key Key, spec any) (*Record, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, &SpecError{Key: key, Err: err}
	}
	return Parse(key, body)
}

// Parse creates a record from the JSON of a spec. It validates the spec without regard to other records and converts it
// to canonical form. The error is a *NameError or a *SpecError.
func Parse(key Key, body []byte) (*Record, error) { return parseWith(decodeStrictly, key, body) }

// parseCanonical creates a record from the JSON of a spec that must already be in canonical form, as in a snapshot.
func parseCanonical(key Key, body []byte) (*Record, error) {
	record, err := parseWith(json.Unmarshal, key, body)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(record.Body, body) {
		return nil, &SpecError{Key: key, Err: errNotCanonical}
	}
	return record, nil
}

// parseWith creates a record from the JSON of a spec, which decode decodes. The error is a *NameError or a *SpecError.
func parseWith(decode specDecoder, key Key, body []byte) (*Record, error) {
	if err := checkName("name", key.Name); err != nil {
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
		err = errUnknownKind
	}
	if err != nil {
		return nil, &SpecError{Key: key, Err: err}
	}
	return record, nil
}

// SameContent reports whether two records are equal apart from their revision.
func (r *Record) SameContent(other *Record) bool {
	return r.Key == other.Key && bytes.Equal(r.Body, other.Body)
}

// encodedSize returns the bytes that a record counts toward the bounds of the store and of the history.
func encodedSize(record *Record) int {
	return len(record.Name) + len(record.Body) + recordOverheadBytes
}
