package cluster

import (
	"errors"
	"fmt"

	"harehook.dev/harehook/records"
)

const (
	maxTextBytes   = 1 << 18 // of a whole configuration in one entry
	maxNameBytes   = 200     // of a client, an operator, a disk's identity or an address
	maxReasonBytes = 5 * maxNameBytes
)

// CommandKind says what a command does.
type CommandKind string

// The kinds of command.
const (
	CommandPut        CommandKind = "put"      // the configuration becomes that of Text if Base is the version in force
	CommandRollBack   CommandKind = "rollback" // the version To becomes the configuration again, under a new number
	CommandRecords    CommandKind = "records"  // Writes are carried out if their records have the revisions that they expect
	CommandRegister   CommandKind = "register" // a member's disk is known from now on
	CommandSetAddress CommandKind = "place"    // a member is reached at the address that Text is
	CommandSetFormat  CommandKind = "format"   // revisions of records count from now on, in a group that began with whole texts
)

// Command is one entry of the log.
type Command struct {
	Kind     CommandKind     `json:"kind"`
	Client   string          `json:"client"` // with Seq it names a proposal: a repeat gives the first one's result
	Seq      uint64          `json:"seq"`
	Base     uint64          `json:"base,omitempty"`
	To       uint64          `json:"to,omitempty"`
	Text     string          `json:"text,omitempty"`
	Writes   []records.Write `json:"writes,omitempty"`
	By       string          `json:"by,omitempty"`
	Why      string          `json:"why,omitempty"`
	At       int64           `json:"at,omitempty"`
	Member   uint64          `json:"member,omitempty"`
	Identity string          `json:"identity,omitempty"`
}

// Result is what became of a command: the version in force since it, or why it was refused.
type Result struct {
	Version  uint64 `json:"number"`
	Rejected string `json:"refused,omitempty"`
}

// Validate says why a command would be refused whatever the state is; who proposes asks it first.
func (s *State) Validate(c Command) error {
	if err := checkSizes(c); err != nil {
		return err
	}
	switch c.Kind {
	case CommandPut:
		_, err := s.parse(c.Text)
		return err
	case CommandRecords:
		return records.Transaction{Writes: c.Writes}.Validate()
	}
	return nil
}

func checkSizes(c Command) error {
	switch {
	case len(c.Client) == 0 || len(c.Client) > maxNameBytes || len(c.By) > maxNameBytes || len(c.Why) > maxReasonBytes || len(c.Identity) > maxNameBytes:
		return fmt.Errorf("a name is missing or over %d bytes", maxNameBytes)
	case len(c.Text) > maxTextBytes:
		return fmt.Errorf("a text of %d bytes, %d at most", len(c.Text), maxTextBytes)
	}
	return nil
}

func (s *State) parse(text string) ([]*records.Record, error) {
	if s.format == nil {
		return nil, errors.New("no format of texts is known here")
	}
	return s.format.Parse(text)
}
