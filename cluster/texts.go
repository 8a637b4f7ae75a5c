package cluster

import (
	"fmt"

	"harehook.dev/harehook/records"
)

// maxTextWrites bounds the records that one whole text changes. A text of maxTextBytes names fewer, and takes the place
// of one that did.
const maxTextWrites = 32768

// TextFormat turns a whole configuration as operators write it into records, and records into such a text. Both must
// depend on their argument alone: all members have to come to the same answer.
type TextFormat interface {
	// Parse gives the records of a text, each key once, or says why it can't be a configuration.
	Parse(text string) ([]*records.Record, error)
	// Format gives the text of records that are ordered by key.
	Format(list []*records.Record) string
}

// transaction is what a command does to the records that are held. It may be called from any goroutine; wholeTexts is
// the state's.
func (s *State) transaction(c Command, wholeTexts bool) (records.Transaction, error) {
	switch c.Kind {
	case CommandPut:
		parsed, err := s.parse(c.Text)
		if err != nil {
			return records.Transaction{}, err
		}
		return s.replacement(parsed, wholeTexts)
	case CommandRollBack:
		if wholeTexts {
			held, kept := s.store.At(c.To)
			if !kept {
				return records.Transaction{}, errNotKept(c.To)
			}
			return s.replacement(held, wholeTexts)
		}
		transaction, kept := s.store.Reversal(c.To)
		if !kept {
			return transaction, errNotKept(c.To)
		}
		return transaction, nil
	default:
		return records.Transaction{Writes: c.Writes}, nil
	}
}

func errNotKept(number uint64) error {
	return fmt.Errorf("the changes since version %d are not kept", number)
}

// replacement is the transaction after which the records are those of a whole text. Services and tenants stay as they are
// if the text names none: a text of routes and overrides alone, as written before there were others, leaves them be.
func (s *State) replacement(parsed []*records.Record, wholeTexts bool) (records.Transaction, error) {
	transaction := records.Transaction{Restamp: wholeTexts}
	named := make(map[records.Key]bool, len(parsed))
	replaced := map[records.Kind]bool{records.KindRoute: true, records.KindOverride: true}
	for _, record := range parsed {
		named[record.Key], replaced[record.Kind] = true, true
		if held := s.store.Get(record.Key); wholeTexts || held == nil || !held.SameContent(record) {
			transaction.Writes = append(transaction.Writes, records.Write{Key: record.Key, Body: record.Body, AnyRevision: true})
		}
	}
	for kind := range replaced {
		for _, record := range s.store.OfKinds(kind).Records {
			if !named[record.Key] {
				transaction.Writes = append(transaction.Writes, records.Write{Key: record.Key, AnyRevision: true})
			}
		}
	}
	if len(transaction.Writes) > maxTextWrites {
		return transaction, fmt.Errorf("the text changes %d records, %d at most: change records by transactions", len(transaction.Writes), maxTextWrites)
	}
	return transaction, nil
}

// TextOf gives the text of a version, from the records as they were. Kept is false if the changes since are not.
// It may be called from any goroutine.
func (s *State) TextOf(number uint64) (text string, kept bool) {
	if s.format == nil || number == 0 {
		return "", number == 0
	}
	held, kept := s.store.At(number)
	if !kept {
		return "", false
	}
	return s.format.Format(held), true
}
