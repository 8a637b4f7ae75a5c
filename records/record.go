package records

import (
	"bytes"
	"encoding/json"
)

// recordOverheadBytes is counted for each record beside its name and body: its kind, revision and lengths as encoded.
const recordOverheadBytes = 16

// Record is one piece of configuration. A record is never changed once it is in a Store, so that readers share it.
type Record struct {
	Key
	Revision uint64 // that set it
	Service  string // that it belongs to; empty: it concerns every service
	Zone     string // that it concerns; empty: every zone
	Body     []byte // the spec in its canonical form: JSON, fields in the order of the type, defaults left out
	share    int64  // a tenant's, in parts of shareUnit
}

// New makes a record of a spec, which is a RouteSpec, ServiceSpec, TenantSpec or OverrideSpec as the key's kind says. The
// error is a *NameError or a *SpecError.
func New(key Key, spec any) (*Record, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, &SpecError{Key: key, Err: err}
	}
	return Parse(key, body)
}

// Parse makes a record of a spec's JSON, which is checked on its own and brought into canonical form. The error is a
// *NameError or a *SpecError.
func Parse(key Key, body []byte) (*Record, error) { return parseWith(decodeStrictly, key, body) }

// parseCanonical makes a record of a spec that has to be in canonical form already, as one in a snapshot is.
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

// SameContent reports whether two records are alike but for their revision.
func (r *Record) SameContent(other *Record) bool {
	return r.Key == other.Key && bytes.Equal(r.Body, other.Body)
}

// encodedSize is what a record counts for in the bounds of the state and of the history, in bytes.
func encodedSize(record *Record) int {
	return len(record.Name) + len(record.Body) + recordOverheadBytes
}
