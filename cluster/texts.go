package cluster

import "harehook.dev/harehook/records"

// TextFormat converts between full texts and records. A full text is a configuration that an operator writes as one
// document. Both methods must depend only on their argument, because all members must compute the same result.
type TextFormat interface {
	// Parse returns the records of a text, each key only once, or an error if the text is not a valid configuration.
	Parse(text string) ([]*records.Record, error)
	// Format returns the text for records, which are ordered by key.
	Format(list []*records.Record) string
}

// parseText returns the records of a full text. The error is ErrNoTextFormat or that of TextFormat.Parse.
func (s *State) parseText(text string) ([]*records.Record, error) {
	if s.format == nil {
		return nil, ErrNoTextFormat
	}
	return s.format.Parse(text)
}

// TextOf returns the text of a version, formatted from the records as of that version. The cost is proportional to the
// size of the configuration. Retained is false if the changes since that version are no longer in the history. TextOf
// may be called from any goroutine.
func (s *State) TextOf(number uint64) (text string, retained bool) {
	if s.format == nil || number == 0 {
		return "", number == 0
	}
	list, retained := s.store.At(number)
	if !retained {
		return "", false
	}
	return s.format.Format(list), true
}
