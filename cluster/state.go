// Package cluster has a few conductors agree on one configuration over Raft. A State is what is agreed, a Member is one
// conductor's part in it as a machine without I/O, and a Node drives a member with a disk, a clock and connections.
// Decisions about load stay with each conductor's module: nothing of every second goes through the log.
package cluster

import (
	"encoding/json"
	"fmt"
	"slices"

	"harehook.dev/harehook/records"
)

const (
	// maxVersions is how many versions are kept to go back to, at most some 1.3 KB each: three hours of the expected
	// 7,800 changes a day. Older changes may still be in the history.
	maxVersions = 1024
	// maxWholeTextVersions is how many were kept with their whole texts. Members of a group that began with those take
	// them up at different places of the log, and have no more versions than these in common until the command Format.
	maxWholeTextVersions = 64
)

// Version is a configuration that was agreed on. Numbers are places in the log: they order versions over all
// conductors, and no two versions share one. They are the revisions of the records.
type Version struct {
	Number uint64 `json:"number"`
	Term   uint64 `json:"term"`
	Text   string `json:"text"` // formatted for who reads it; the state holds records
	By     string `json:"by"`
	Why    string `json:"why"`
	At     int64  `json:"at"` // Unix time in s, by the clock of who proposed it
}

// State is what all members agree on. It is a function of the log alone.
type State struct {
	// OnCommit is called with each change of the records once it is made, and with Reset when a snapshot took the
	// place of all. Nil: no one is told.
	OnCommit func(records.Change)

	Versions   []Version // without texts
	Identities map[uint64]string
	Addresses  map[uint64]string
	// WholeTexts is set in a group that began with whole texts, until the command Format. Until then a whole text sets
	// the revision of each of its records: members that read the state at different places of the log have to hold the
	// same revisions, and of a whole text only the place of the last one is known to all.
	WholeTexts bool

	sessions sessions
	store    *records.Store
	format   TextFormat
}

// NewState is one in which nothing was agreed. Without a format whole texts are refused.
func NewState(format TextFormat) *State {
	return &State{sessions: newSessions(), Identities: map[uint64]string{}, Addresses: map[uint64]string{}, store: records.NewStore(), format: format}
}

// Store is where the records are; it stays the same one when a snapshot is restored. Only the state changes it.
func (s *State) Store() *records.Store { return s.store }

// Latest is the version in force without its text; its number is 0 if there is none.
func (s *State) Latest() (v Version) {
	if n := len(s.Versions); n > 0 {
		v = s.Versions[n-1]
	}
	return v
}

// Current is the version in force with its text, which costs by the whole configuration.
func (s *State) Current() Version {
	v := s.Latest()
	v.Text, _ = s.TextOf(v.Number)
	return v
}

// Find gives a version that is still kept, without its text.
func (s *State) Find(number uint64) (Version, bool) {
	at := slices.IndexFunc(s.Versions, func(v Version) bool { return v.Number == number })
	if at < 0 {
		return Version{}, false
	}
	return s.Versions[at], true
}

// Apply takes the entry at a place of the log. What can't be read is refused by all alike.
func (s *State) Apply(index, term uint64, data []byte) (c Command, r Result) {
	if err := json.Unmarshal(data, &c); err != nil {
		return c, Result{s.Latest().Number, "it can't be read"}
	}
	if last := s.sessions.byClient[c.Client]; last != nil && c.Seq <= last.Seq {
		if c.Seq < last.Seq {
			return c, Result{s.Latest().Number, "a later proposal of this client came first"}
		}
		s.sessions.touch(last, index)
		return c, last.Result
	}
	number, err := s.apply(index, term, c)
	if err != nil {
		r = Result{s.Latest().Number, err.Error()}
	} else {
		r = Result{Version: number}
	}
	if checkSizes(Command{Client: c.Client}) == nil {
		s.sessions.record(c.Client, c.Seq, r, index)
	}
	return c, r
}

// apply carries a command out and gives the number of the version in force since, or says why it is refused.
func (s *State) apply(index, term uint64, c Command) (number uint64, err error) {
	if err := s.Validate(c); err != nil {
		return 0, err
	}
	switch c.Kind {
	case CommandPut, CommandRollBack, CommandRecords:
		return index, s.applyConfiguration(index, term, c)
	case CommandRegister:
		err = s.register(c)
	case CommandSetAddress:
		err = s.setAddress(c)
	case CommandSetFormat:
		s.WholeTexts = false
	default:
		err = fmt.Errorf("a command %q is not known", c.Kind)
	}
	return s.Latest().Number, err
}

func (s *State) register(c Command) error {
	if known := s.Identities[c.Member]; known != "" && known != c.Identity {
		return fmt.Errorf("member %d is known by another disk: remove it and add it under a new number", c.Member)
	}
	s.Identities[c.Member] = c.Identity
	return nil
}

func (s *State) setAddress(c Command) error {
	if c.Member == 0 || c.Text == "" || len(c.Text) > maxNameBytes {
		return fmt.Errorf("a member's number and address are needed")
	}
	s.Addresses[c.Member] = c.Text
	return nil
}

// applyConfiguration changes the records by a command, as a new version.
func (s *State) applyConfiguration(index, term uint64, c Command) error {
	if err := s.checkPreconditions(c); err != nil {
		return err
	}
	transaction, err := s.transaction(c, s.WholeTexts)
	if err != nil {
		return err
	}
	change, err := s.store.Apply(index, transaction)
	if err != nil && c.Kind == CommandRollBack { // what was fine then may not be by now
		return fmt.Errorf("version %d can't be used any more: %w", c.To, err)
	}
	if err != nil {
		return err
	}
	s.addVersion(Version{Number: index, Term: term, By: c.By, Why: c.Why, At: c.At})
	if s.OnCommit != nil {
		s.OnCommit(change)
	}
	return nil
}

// checkPreconditions says why a command can't change the version in force.
func (s *State) checkPreconditions(c Command) error {
	now := s.Latest().Number
	if c.Kind == CommandRecords {
		if s.WholeTexts {
			return fmt.Errorf("the group does not count revisions of records yet: its leader has it do so within seconds, try again")
		}
		return nil // each write names the revision that it changes
	}
	if _, kept := s.Find(c.To); c.Kind == CommandRollBack && !kept {
		return fmt.Errorf("version %d is not kept", c.To)
	}
	if c.Base != now {
		return fmt.Errorf("it changes version %d, and version %d is in force: look at what came between", c.Base, now)
	}
	return nil
}

// addVersion takes a version in and drops the oldest over the bound.
func (s *State) addVersion(v Version) {
	s.Versions = append(s.Versions, v)
	most := maxVersions
	if s.WholeTexts {
		most = maxWholeTextVersions
	}
	for len(s.Versions) > most {
		s.Versions[0] = Version{} // lets its strings go before the slice moves
		s.Versions = s.Versions[1:]
	}
}
