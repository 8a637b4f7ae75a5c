package records

import (
	"encoding/json"
	"fmt"
	"testing"
)

func mustMarshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

func write(kind Kind, name string, spec any) Write {
	return Write{Key: Key{kind, name}, Body: mustMarshal(spec), AnyRevision: true}
}

func removal(kind Kind, name string) Write { return Write{Key: Key{kind, name}, AnyRevision: true} }

// apply applies writes at the next revision. The test fails if they are rejected.
func apply(t testing.TB, s *Store, writes ...Write) Change {
	t.Helper()
	change, err := s.Apply(s.Revision()+1, Transaction{Writes: writes})
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func describe(record *Record) string {
	if record == nil {
		return "nil"
	}
	return fmt.Sprintf("%s@%d %s %s %s", record.Key, record.Revision, record.Service, record.Zone, record.Body)
}

func describeAll(list []*Record) (lines []string) {
	for _, record := range list {
		lines = append(lines, describe(record))
	}
	return lines
}

func describeUpdates(list []Update) (lines []string) {
	for _, update := range list {
		lines = append(lines, describe(update.Before)+" -> "+describe(update.After))
	}
	return lines
}
