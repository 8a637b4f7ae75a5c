package cluster

import (
	"encoding/json"

	"harehook.dev/harehook/records"
)

// State is the replicated state machine. It depends only on the log. A single goroutine applies entries and reads the
// state; Store, Validate and TextOf may be called from any goroutine.
type State struct {
	// OnCommit is called after each change of the records, and with Reset set after a snapshot has replaced all of them.
	// If nil, no one is notified.
	OnCommit func(records.Change)

	Versions   []Version         // retained versions without texts, in ascending order; the last one is in effect
	Identities map[uint64]string // of the members' disks, by member ID
	Addresses  map[uint64]string // of the members, by member ID
	// FullTexts is set in a group that began with full texts, until it applies CommandSetFormat. Until then, a full text
	// sets the revision of each of its records, also of unchanged ones. Members convert the old state at different log
	// indexes and must nevertheless have the same revisions, and the only index that all of them know is that of the last
	// full text.
	FullTexts bool

	sessions sessions
	store    *records.Store
	format   TextFormat // nil: full texts are rejected
}

// NewState returns an empty state. If format is nil, full texts are rejected.
func NewState(format TextFormat) *State {
	return &State{
		Identities: map[uint64]string{},
		Addresses:  map[uint64]string{},
		sessions:   newSessions(),
		store:      records.NewStore(),
		format:     format,
	}
}

// Store returns the store of the records. Restore keeps the same store. Only the state modifies it.
func (s *State) Store() *records.Store { return s.store }

// Apply applies the log entry at index. All members compute the same result, also for an entry that cannot be decoded
// and for a proposal that was applied before.
//
// Two proposals are the same if their Client and Seq are equal; their contents are not compared. A command with other
// contents but the Client and Seq of an earlier one gets the earlier result and is not executed.
func (s *State) Apply(index, term uint64, data []byte) (Command, Result) {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return command, s.result(ErrUnreadableCommand)
	}
	if last := s.sessions.byClient[command.Client]; last != nil && command.Seq <= last.Seq {
		if command.Seq < last.Seq {
			return command, s.result(ErrOlderProposal)
		}
		s.sessions.touch(last, index)
		return command, last.Result
	}
	result := s.result(s.execute(index, term, command))
	if checkSizes(Command{Client: command.Client}) == nil {
		s.sessions.record(command.Client, command.Seq, result, index)
	}
	return command, result
}

// execute executes a command that was not applied before. A rejected command changes nothing; the error is one of
// errors.go or of records.Store.Apply.
func (s *State) execute(index, term uint64, c Command) error {
	if err := s.Validate(c); err != nil {
		return err
	}
	switch c.Kind {
	case CommandPut, CommandRollBack, CommandRecords:
		return s.applyConfiguration(index, term, c)
	case CommandRegister:
		return s.register(c)
	case CommandSetAddress:
		return s.setAddress(c)
	case CommandSetFormat:
		s.FullTexts = false
		return nil
	default:
		return &UnknownCommandError{Kind: c.Kind}
	}
}

// result returns the version in effect and the reason for a rejection. If rejection is nil, the command was executed.
func (s *State) result(rejection error) Result {
	result := Result{Version: s.Latest().Number}
	if rejection != nil {
		result.Rejected = rejection.Error()
	}
	return result
}

func (s *State) register(c Command) error {
	if registered := s.Identities[c.Member]; registered != "" && registered != c.Identity {
		return &DiskMismatchError{Member: c.Member}
	}
	s.Identities[c.Member] = c.Identity
	return nil
}

func (s *State) setAddress(c Command) error {
	if c.Member == 0 || c.Text == "" || len(c.Text) > maxNameBytes {
		return ErrNoAddress
	}
	s.Addresses[c.Member] = c.Text
	return nil
}
