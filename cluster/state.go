package cluster

import (
	"encoding/json"

	"harehook.dev/harehook/records"
)

// State is what all members agree on. It is a function of the log alone. One goroutine applies entries and reads it;
// Store, Validate and TextOf may be used from any.
type State struct {
	// OnCommit is called with each change of the records once it is made, and with Reset when a snapshot replaced all of
	// them. Nil: no one is notified.
	OnCommit func(records.Change)

	Versions   []Version         // retained ones without texts, by rising number; the last one is in effect
	Identities map[uint64]string // of the members' disks, by member
	Addresses  map[uint64]string // that members are reached at, by member
	// FullTexts is set in a group that began with full texts, until CommandSetFormat. Until then a full text sets the
	// revision of each of its records: members that read the state at different indexes of the log have to hold the same
	// revisions, and of a full text all know only the index of the last one.
	FullTexts bool

	sessions sessions
	store    *records.Store
	format   TextFormat // nil: full texts are rejected
}

// NewState is one in which nothing was agreed. Without a format full texts are rejected.
func NewState(format TextFormat) *State {
	return &State{
		Identities: map[uint64]string{},
		Addresses:  map[uint64]string{},
		sessions:   newSessions(),
		store:      records.NewStore(),
		format:     format,
	}
}

// Store is where the records are; it stays the same one when a snapshot is restored. Only the state changes it.
func (s *State) Store() *records.Store { return s.store }

// Apply carries out the entry at an index of the log. All members come to the same result, also for an entry that cannot
// be read and for a proposal that was carried out before.
//
// A proposal is the same as an earlier one if Client and Seq are; their contents are not compared. A command with other
// contents under a name that was used gets the first one's result and is not carried out.
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

// execute carries out a command that was not carried out before, or says why it is rejected; then nothing has changed.
// The causes are in errors.go, and those of records.Store.Apply.
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

// result tells the version in effect, and why a command was rejected. Nil: it was carried out.
func (s *State) result(rejection error) Result {
	result := Result{Version: s.Latest().Number}
	if rejection != nil {
		result.Rejected = rejection.Error()
	}
	return result
}

func (s *State) register(c Command) error {
	if known := s.Identities[c.Member]; known != "" && known != c.Identity {
		return &KnownDiskError{Member: c.Member}
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
