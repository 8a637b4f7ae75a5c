package cluster

import "harehook.dev/harehook/records"

// TextFormat turns a full text, which is a configuration as operators write it in one document, into records, and records
// into such a text. Both must depend on their argument alone: all members have to come to the same answer.
type TextFormat interface {
	// Parse gives the records of a text, each key once, or says why it can't be a configuration.
	Parse(text string) ([]*records.Record, error)
	// Format gives the text of records that are ordered by key.
	Format(list []*records.Record) string
}

// parseText gives the records of a full text. The error is ErrNoTextFormat or the format's.
func (s *State) parseText(text string) ([]*records.Record, error) {
	if s.format == nil {
		return nil, ErrNoTextFormat
	}
	return s.format.Parse(text)
}

// TextOf gives the text of a version, from the records as they were; it costs by the whole configuration. Retained is
// false if the changes since then are not known any more. It may be called from any goroutine.
func (s *State) TextOf(number uint64) (text string, retained bool) {
	if s.format == nil || number == 0 {
		return "", number == 0
	}
	held, retained := s.store.At(number)
	if !retained {
		return "", false
	}
	return s.format.Format(held), true
}
