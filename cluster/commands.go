package cluster

import (
	"fmt"

	"harehook.dev/harehook/records"
)

// The limits of a command.
const (
	maxTextBytes   = 1 << 18 // of a full text in one entry
	maxNameBytes   = 200     // of a client, an operator, a disk identity or an address
	maxReasonBytes = 5 * maxNameBytes
)

// Validate returns an error if a command would be rejected in any state. Callers validate a command before they propose
// it. The error is a *NameSizeError, a *TextSizeError, a *records.InvalidError, ErrNoTextFormat or that of
// TextFormat.Parse. Validate may be called from any goroutine.
func (s *State) Validate(c Command) error {
	if err := checkSizes(c); err != nil {
		return err
	}
	switch c.Kind {
	case CommandPut:
		_, err := s.parseText(c.Text)
		return err
	case CommandRecords:
		return records.Transaction{Writes: c.Writes}.Validate()
	}
	return nil
}

// checkSizes checks the limits of a command. The error is a *NameSizeError or a *TextSizeError.
func checkSizes(c Command) error {
	if c.Client == "" {
		return &NameSizeError{Field: "Client", LimitBytes: maxNameBytes}
	}
	names := []struct {
		field      string
		value      string
		limitBytes int
	}{
		{"Client", c.Client, maxNameBytes},
		{"By", c.By, maxNameBytes},
		{"Why", c.Why, maxReasonBytes},
		{"Identity", c.Identity, maxNameBytes},
	}
	for _, name := range names {
		if len(name.value) > name.limitBytes {
			return &NameSizeError{Field: name.field, Bytes: len(name.value), LimitBytes: name.limitBytes}
		}
	}
	if len(c.Text) > maxTextBytes {
		return &TextSizeError{Bytes: len(c.Text), LimitBytes: maxTextBytes}
	}
	return nil
}

// proposalKey identifies a proposal. A repeated proposal has the same key.
func proposalKey(c Command) string { return fmt.Sprint(c.Client, " ", c.Seq) }
