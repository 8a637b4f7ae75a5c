// Package cluster has a few conductors agree on one configuration over Raft. A State is what is agreed, a Member is one
// conductor's part in it as a machine without I/O, and a Node drives a member with a disk, a clock and connections.
// Decisions about load stay with each conductor's module: nothing of every second goes through the log.
package cluster

import (
	"encoding/json"
	"fmt"
	"slices"
)

const (
	historyMost = 64      // versions that are kept to go back to
	clientsMost = 1024    // whose last proposal is remembered
	textMost    = 1 << 18 // bytes of a configuration
	nameMost    = 200     // bytes of a name, 5 times that of a reason
)

// Version is a configuration that was agreed on. Numbers are places in the log: they order versions over all
// conductors, and no two versions share one.
type Version struct {
	Number uint64 `json:"number"`
	Term   uint64 `json:"term"`
	Text   string `json:"text"`
	By     string `json:"by"`
	Why    string `json:"why"`
	At     int64  `json:"at"` // Unix time in s, by the clock of who proposed it
}

// Kind says what a command does.
type Kind string

// The kinds of command.
const (
	Put      Kind = "put"      // Text becomes the configuration if Base is the version in force
	RollBack Kind = "rollback" // the version To becomes the configuration again, under a new number
	Register Kind = "register" // a member's disk is known from now on
	Place    Kind = "place"    // a member is reached at the address that Text is
)

// Command is one entry of the log.
type Command struct {
	Kind     Kind   `json:"kind"`
	Client   string `json:"client"` // with Seq it names a proposal: a repeat gives the first one's result
	Seq      uint64 `json:"seq"`
	Base     uint64 `json:"base,omitempty"`
	To       uint64 `json:"to,omitempty"`
	Text     string `json:"text,omitempty"`
	By       string `json:"by,omitempty"`
	Why      string `json:"why,omitempty"`
	At       int64  `json:"at,omitempty"`
	Member   uint64 `json:"member,omitempty"`
	Identity string `json:"identity,omitempty"`
}

// Result is what became of a command: the version in force since it, or why it was refused.
type Result struct {
	Number  uint64 `json:"number"`
	Refused string `json:"refused,omitempty"`
}

type session struct {
	Seq    uint64 `json:"seq"`
	Result Result `json:"result"`
	Used   uint64 `json:"used"` // the place of the last command, by which the oldest is forgotten
}

// State is what all members agree on. It is a function of the log alone.
type State struct {
	// Check says why a text can't be a configuration. It must be a function of the text alone: all members have to
	// come to the same answer. Nil: every text can.
	Check func(text string) error `json:"-"`

	Versions   []Version           `json:"versions"`
	Clients    map[string]*session `json:"clients"`
	Identities map[uint64]string   `json:"identities"`
	Addresses  map[uint64]string   `json:"addresses"`
}

// NewState is one in which nothing was agreed.
func NewState(check func(string) error) *State {
	return &State{Check: check, Clients: map[string]*session{}, Identities: map[uint64]string{}, Addresses: map[uint64]string{}}
}

// Current is the version in force; its number is 0 if there is none.
func (s *State) Current() (v Version) {
	if n := len(s.Versions); n > 0 {
		v = s.Versions[n-1]
	}
	return v
}

// Find gives a version that is still kept.
func (s *State) Find(number uint64) (Version, bool) {
	at := slices.IndexFunc(s.Versions, func(v Version) bool { return v.Number == number })
	if at < 0 {
		return Version{}, false
	}
	return s.Versions[at], true
}

// Valid says why a command would be refused whatever the state is; who proposes asks it first.
func (s *State) Valid(c Command) error {
	switch {
	case len(c.Client) == 0 || len(c.Client) > nameMost || len(c.By) > nameMost || len(c.Why) > 5*nameMost || len(c.Identity) > nameMost:
		return fmt.Errorf("a name is missing or over %d bytes", nameMost)
	case len(c.Text) > textMost:
		return fmt.Errorf("a text of %d bytes, %d at most", len(c.Text), textMost)
	case c.Kind == Put && s.Check != nil:
		return s.Check(c.Text)
	}
	return nil
}

// Apply takes the entry at a place of the log. What can't be read is refused by all alike.
func (s *State) Apply(index, term uint64, data []byte) (c Command, r Result) {
	if err := json.Unmarshal(data, &c); err != nil {
		return c, Result{s.Current().Number, "it can't be read"}
	}
	if last := s.Clients[c.Client]; last != nil && c.Seq <= last.Seq {
		if c.Seq < last.Seq {
			return c, Result{s.Current().Number, "a later proposal of this client came first"}
		}
		last.Used = index
		return c, last.Result
	}
	r = s.apply(index, term, c)
	if err := s.Valid(Command{Client: c.Client}); err == nil {
		s.Clients[c.Client] = &session{c.Seq, r, index}
		if len(s.Clients) > clientsMost {
			oldest := ""
			for client, one := range s.Clients {
				if oldest == "" || one.Used < s.Clients[oldest].Used {
					oldest = client
				}
			}
			delete(s.Clients, oldest)
		}
	}
	return c, r
}

func (s *State) apply(index, term uint64, c Command) Result {
	now := s.Current().Number
	no := func(format string, args ...any) Result { return Result{now, fmt.Sprintf(format, args...)} }
	if err := s.Valid(c); err != nil {
		return no("%v", err)
	}
	text := c.Text
	switch c.Kind {
	case Register:
		if known := s.Identities[c.Member]; known != "" && known != c.Identity {
			return no("member %d is known by another disk: remove it and add it under a new number", c.Member)
		}
		s.Identities[c.Member] = c.Identity
		return Result{Number: now}
	case Place:
		if c.Member == 0 || c.Text == "" || len(c.Text) > nameMost {
			return no("a member's number and address are needed")
		}
		s.Addresses[c.Member] = c.Text
		return Result{Number: now}
	case RollBack:
		v, kept := s.Find(c.To)
		if !kept {
			return no("version %d is not kept", c.To)
		}
		// What was fine then may not be by now.
		if text = v.Text; s.Check != nil {
			if err := s.Check(text); err != nil {
				return no("version %d can't be used any more: %v", c.To, err)
			}
		}
	case Put:
	default:
		return no("a command %q is not known", c.Kind)
	}
	if c.Base != now {
		return no("it changes version %d, and version %d is in force: look at what came between", c.Base, now)
	}
	s.Versions = append(s.Versions, Version{Number: index, Term: term, Text: text, By: c.By, Why: c.Why, At: c.At})
	if len(s.Versions) > historyMost {
		s.Versions = slices.Delete(s.Versions, 0, len(s.Versions)-historyMost)
	}
	return Result{Number: index}
}

// Snapshot is the state as bytes; equal states give equal ones.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore takes a snapshot's state.
func (s *State) Restore(data []byte) error {
	next := NewState(s.Check)
	if err := json.Unmarshal(data, next); err != nil {
		return err
	}
	*s = *next
	return nil
}
