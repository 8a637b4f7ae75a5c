package records

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestConflictsNameEveryKey(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "pay", ServiceSpec{}), write(KindRoute, "a", RouteSpec{Prefix: "/a", TimeLimitMS: 1}))
	apply(t, s, write(KindRoute, "a", RouteSpec{Prefix: "/a", TimeLimitMS: 2}))
	_, err := s.Apply(9, Transaction{Writes: []Write{
		{Key: Key{KindRoute, "a"}, ExpectedRevision: 1},
		{Key: Key{KindService, "pay"}},
		{Key: Key{KindTenant, "x"}, ExpectedRevision: 7},
		{Key: Key{KindService, "new"}, Body: []byte("{}")},
	}})
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got error %v, want a ConflictError", err)
	}
	want := []Conflict{{Key{KindRoute, "a"}, 1, 2}, {Key{KindService, "pay"}, 0, 1}, {Key{KindTenant, "x"}, 7, 0}}
	if !slices.Equal(conflict.Conflicts, want) {
		t.Errorf("got conflicts %v, want %v", conflict.Conflicts, want)
	}
	if got := err.Error(); got != "changed since it was read: route/a has revision 2, 1 was expected; service/pay exists with revision 1; tenant/x does not exist, revision 7 was expected" {
		t.Errorf("got message %q, want one that lists the three conflicts", got)
	}
}

func TestTransactionsAreBounded(t *testing.T) {
	many := Transaction{}
	for i := range MaxTransactionWrites + 1 {
		many.Writes = append(many.Writes, removal(KindTenant, fmt.Sprint(i)))
	}
	large := Transaction{Writes: []Write{{Key: Key{KindService, "a"}, Body: make([]byte, MaxTransactionBytes)}}}
	cases := map[string]struct {
		transaction Transaction
		want        string // substring of the error
	}{
		"writes":    {many, "at most 256 records, not 257"},
		"bytes":     {large, "at most 262144 bytes, not 262145"},
		"no writes": {Transaction{}, "at least one"},
		"kind":      {Transaction{Writes: []Write{{Key: Key{9, "a"}, Body: []byte("{}")}}}, "not known"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := c.transaction.Validate()
			var invalid *InvalidError
			if !errors.As(err, &invalid) || !strings.Contains(invalid.Reason, c.want) {
				t.Errorf("got error %v, want an InvalidError with %q", err, c.want)
			}
		})
	}
	many.Writes = many.Writes[1:]
	if err := many.Validate(); err != nil {
		t.Errorf("%d writes: got error %v, want none", len(many.Writes), err)
	}
}
