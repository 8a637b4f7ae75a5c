package cluster

import (
	"encoding/json"

	"harehook.dev/harehook/records"
)

// This file has all bodies of the group's calls and the entries of the log, which are JSON. Their names on the wire are
// those of the first release; the names of the fields are the glossary's.

// CommandKind says what a command does. Its value is its name on the wire.
type CommandKind string

// The kinds of command.
const (
	CommandPut        CommandKind = "put"      // Text becomes the configuration, if Base is the version in effect
	CommandRollBack   CommandKind = "rollback" // the configuration of version To takes effect again, as a new version
	CommandRecords    CommandKind = "records"  // Writes are carried out, if their records have the revisions that they expect
	CommandRegister   CommandKind = "register" // the disk of Member is the one with Identity
	CommandSetAddress CommandKind = "place"    // Member is reached at the address that Text is
	CommandSetFormat  CommandKind = "format"   // revisions of records count from now on, in a group that began with full texts
)

// Command is one entry of the log.
type Command struct {
	Kind     CommandKind     `json:"kind"`
	Client   string          `json:"client"` // with Seq it names a proposal, whatever else it has: see State.Apply
	Seq      uint64          `json:"seq"`
	Base     uint64          `json:"base,omitempty"`
	To       uint64          `json:"to,omitempty"`
	Text     string          `json:"text,omitempty"`
	Writes   []records.Write `json:"writes,omitempty"`
	By       string          `json:"by,omitempty"`
	Why      string          `json:"why,omitempty"`
	At       int64           `json:"at,omitempty"` // Unix time in s, by the clock of who proposed it
	Member   uint64          `json:"member,omitempty"`
	Identity string          `json:"identity,omitempty"`
}

// Result is what became of a command.
type Result struct {
	Version  uint64 `json:"number"`            // in effect since then
	Rejected string `json:"refused,omitempty"` // why it was rejected; empty: it was carried out
}

// Version is a configuration that was agreed on. Numbers are indexes of the log: they order versions over all members,
// and no two versions share one. They are the revisions of the records.
type Version struct {
	Number uint64 `json:"number"`
	Term   uint64 `json:"term"`
	Text   string `json:"text"` // formatted for who reads it; the state holds records
	By     string `json:"by"`
	Why    string `json:"why"`
	At     int64  `json:"at"` // Unix time in s, by the clock of who proposed it
}

// ReadRequest says what an operator wants to read.
type ReadRequest struct {
	Linearizable bool `json:"fresh"`
	History      bool `json:"history"` // all versions that are retained; else the one in effect
	// Texts names the versions of the history whose texts are wanted; nil: of all. An empty list asks for none.
	Texts []uint64 `json:"texts"`
}

// ReadResponse has the version in effect, or the history with the oldest version first.
type ReadResponse struct {
	Linearizable bool      `json:"fresh"`
	Versions     []Version `json:"versions"`
}

// RecordsRequest says which records an operator wants to read: some keys, or a kind and a service.
type RecordsRequest struct {
	Keys    []records.Key `json:"keys,omitempty"`
	Kind    records.Kind  `json:"kind,omitempty"`    // 0: all
	Service string        `json:"service,omitempty"` // empty: all
}

// RecordsResponse is what was read.
type RecordsResponse struct {
	Revision uint64       `json:"revision"` // as of which it is complete
	Records  []ReadRecord `json:"records"`
	More     bool         `json:"more,omitempty"` // there are more than one response holds
}

// ReadRecord is a record as operators read it.
type ReadRecord struct {
	Key      records.Key     `json:"key"`
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

// MembershipChange is a change of who is in the group. Its fields are numbers of members.
type MembershipChange struct {
	Add    []uint64 `json:"Add"`   // become voters
	Learn  []uint64 `json:"Learn"` // become learners: they get the log and have no vote
	Remove []uint64 `json:"Remove"`
}

// MembershipRequest is a change of members that an operator asks for.
type MembershipRequest struct {
	Change  MembershipChange `json:"change"`
	Address string           `json:"address,omitempty"` // of the member that is added
	Lead    uint64           `json:"lead,omitempty"`    // leadership is transferred to it; 0: it stays
}

// Status is what a member knows of the group.
type Status struct {
	ID             uint64            `json:"ID"`
	Leader         uint64            `json:"Leader"` // 0: none is known
	Term           uint64            `json:"Term"`
	Applied        uint64            `json:"Applied"` // index of the last entry that the state has
	Commit         uint64            `json:"Commit"`
	IsLeader       bool              `json:"Leads"`
	Voters         []uint64          `json:"Voters"`
	Learners       []uint64          `json:"Learners"`
	JointConsensus bool              `json:"Joint"` // a change of several members is under way
	Version        uint64            `json:"Version"`
	Entries        uint64            `json:"Entries"` // of the log since its snapshot
	Lag            map[uint64]uint64 `json:"Behind"`  // at the leader: entries that a member lacks, by member
}

// StatusReport is what a member reports to an operator.
type StatusReport struct {
	Status           Status            `json:"standing"`
	Addresses        map[uint64]string `json:"addresses"`
	Identities       map[uint64]string `json:"identities"`
	RejectedMessages uint64            `json:"refused"` // of an unknown disk under a known number
}
