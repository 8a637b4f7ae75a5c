package cluster

import (
	"encoding/json"

	"harehook.dev/harehook/records"
)

// This file contains the bodies of the gRPC calls and the log entries. All of them are JSON. The names on the wire are
// those of the first release, so that some differ from the names of the Go fields.

// CommandKind is the kind of a command. Its value is its name on the wire.
type CommandKind string

// The kinds of command.
const (
	CommandPut        CommandKind = "put"      // replaces the configuration with Text, if Base is the version in effect
	CommandRollBack   CommandKind = "rollback" // restores version To as a new version, if Base is the version in effect
	CommandRecords    CommandKind = "records"  // applies Writes, if their records have the expected revisions
	CommandRegister   CommandKind = "register" // registers Identity as the disk of Member
	CommandSetAddress CommandKind = "place"    // sets the address of Member to Text
	CommandSetFormat  CommandKind = "format"   // enables revisions of single records in a group that began with full texts
)

// Command is one entry of the log.
type Command struct {
	Kind     CommandKind     `json:"kind"`
	Client   string          `json:"client"` // Client and Seq identify a proposal; see State.Apply
	Seq      uint64          `json:"seq"`
	Base     uint64          `json:"base,omitempty"` // number of the version that the command changes
	To       uint64          `json:"to,omitempty"`   // number of the version that a rollback restores
	Text     string          `json:"text,omitempty"`
	Writes   []records.Write `json:"writes,omitempty"`
	By       string          `json:"by,omitempty"`  // operator who proposed the command
	Why      string          `json:"why,omitempty"` // reason that the operator gave
	At       int64           `json:"at,omitempty"`  // Unix time in s, by the proposer's clock
	Member   uint64          `json:"member,omitempty"`
	Identity string          `json:"identity,omitempty"`
}

// Result is the result of a command.
type Result struct {
	Version  uint64 `json:"number"`            // in effect after the command
	Rejected string `json:"refused,omitempty"` // the reason for a rejection; empty if the command was executed
}

// Version is an agreed configuration. Its number is the log index of the command: numbers are unique and have the same
// order at all members. They are also the revisions of the records.
type Version struct {
	Number uint64 `json:"number"`
	Term   uint64 `json:"term"`
	Text   string `json:"text"` // formatted for the reader; the state holds only records
	By     string `json:"by"`   // as in Command
	Why    string `json:"why"`
	At     int64  `json:"at"` // Unix time in s, by the proposer's clock
}

// ReadRequest is an operator's request for versions.
type ReadRequest struct {
	Linearizable bool `json:"fresh"`
	History      bool `json:"history"` // all retained versions instead of only the one in effect
	// Texts lists the versions of the history whose texts are requested. Nil requests all texts, an empty list none.
	Texts []uint64 `json:"texts"`
}

// ReadResponse holds the version in effect, or the history with the oldest version first.
type ReadResponse struct {
	Linearizable bool      `json:"fresh"`
	Versions     []Version `json:"versions"`
}

// RecordsRequest is an operator's request for records, either by keys or by kind and service.
type RecordsRequest struct {
	Keys    []records.Key `json:"keys,omitempty"`
	Kind    records.Kind  `json:"kind,omitempty"`    // 0 for all
	Service string        `json:"service,omitempty"` // empty for all
}

// RecordsResponse holds the requested records.
type RecordsResponse struct {
	Revision uint64       `json:"revision"` // the records are complete as of this revision
	Records  []ReadRecord `json:"records"`
	More     bool         `json:"more,omitempty"` // the response was truncated
}

// ReadRecord is a record in a RecordsResponse.
type ReadRecord struct {
	Key      records.Key     `json:"key"`
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

// MembershipChange is a change of the group's members. Its fields are member IDs.
type MembershipChange struct {
	Add    []uint64 `json:"Add"`   // become voters
	Learn  []uint64 `json:"Learn"` // become learners, which receive the log but do not vote
	Remove []uint64 `json:"Remove"`
}

// MembershipRequest is an operator's request to change members or to transfer leadership.
type MembershipRequest struct {
	Change  MembershipChange `json:"change"`
	Address string           `json:"address,omitempty"` // of the added member
	Lead    uint64           `json:"lead,omitempty"`    // member to transfer leadership to; 0 for no transfer
}

// Status is the status of the group as known by one member.
type Status struct {
	ID             uint64            `json:"ID"`
	Leader         uint64            `json:"Leader"` // 0 if unknown
	Term           uint64            `json:"Term"`
	Applied        uint64            `json:"Applied"` // index of the last applied entry
	Commit         uint64            `json:"Commit"`
	IsLeader       bool              `json:"Leads"`
	Voters         []uint64          `json:"Voters"`
	Learners       []uint64          `json:"Learners"`
	JointConsensus bool              `json:"Joint"` // a change of several members is in progress
	Version        uint64            `json:"Version"`
	Entries        uint64            `json:"Entries"` // in the log since its snapshot
	Lag            map[uint64]uint64 `json:"Behind"`  // only at the leader: entries that a member is missing, by member ID
}

// StatusReport is a member's response to an operator's Status call.
type StatusReport struct {
	Status           Status            `json:"standing"`
	Addresses        map[uint64]string `json:"addresses"`
	Identities       map[uint64]string `json:"identities"`
	RejectedMessages uint64            `json:"refused"` // messages from a disk other than the registered one of the sender
}
