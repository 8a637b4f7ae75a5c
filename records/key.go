package records

import (
	"cmp"
	"fmt"
	"strings"
)

// maxNameBytes is the maximum length of the name of a record, service or zone, and of the prefix of a route.
const maxNameBytes = 200

// Kind is the type of a record. Its numeric values are part of the stored format.
type Kind uint8

// The kinds of records.
const (
	KindRoute Kind = iota + 1
	KindService
	KindTenant
	KindOverride
)

// kindsInOrder lists all kinds in the order of keys.
var kindsInOrder = []Kind{KindRoute, KindService, KindTenant, KindOverride}

var kindNames = map[Kind]string{KindRoute: "route", KindService: "service", KindTenant: "tenant", KindOverride: "override"}

// String returns the name of the kind as operators write it.
func (k Kind) String() string {
	if name, known := kindNames[k]; known {
		return name
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// parseKind is the inverse of String.
func parseKind(name string) (kind Kind, known bool) {
	for _, kind := range kindsInOrder {
		if kindNames[kind] == name {
			return kind, true
		}
	}
	return 0, false
}

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// String returns the key as kind/name.
func (k Key) String() string { return k.Kind.String() + "/" + k.Name }

// ParseKey parses a key in the form kind/name. The error is a *KeyError, a *NameError or a *KindError.
func ParseKey(text string) (Key, error) {
	kindName, name, found := strings.Cut(text, "/")
	if !found {
		return Key{}, &KeyError{Text: text}
	}
	if err := checkName("name", name); err != nil {
		return Key{}, err
	}
	kind, known := parseKind(kindName)
	if !known {
		return Key{}, &KindError{Name: kindName}
	}
	return Key{Kind: kind, Name: name}, nil
}

// MarshalText encodes the key as kind/name.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes a key in the form kind/name. The errors are those of ParseKey.
func (k *Key) UnmarshalText(text []byte) error {
	key, err := ParseKey(string(text))
	*k = key
	return err
}

// Compare orders keys by kind, then by name.
func (k Key) Compare(other Key) int {
	if k.Kind != other.Kind {
		return cmp.Compare(k.Kind, other.Kind)
	}
	return strings.Compare(k.Name, other.Name)
}

// checkName returns a *NameError if a name is invalid. The error states the field that the name is for.
func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "\r\n\x00") {
		return &NameError{Field: field, LimitBytes: maxNameBytes}
	}
	return nil
}

// checkOptionalName is like checkName, but accepts an empty name.
func checkOptionalName(field, name string) error {
	if name == "" {
		return nil
	}
	return checkName(field, name)
}
