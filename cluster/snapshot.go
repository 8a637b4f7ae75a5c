package cluster

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"harehook.dev/harehook/records"
)

const (
	// snapshotMagic begins a snapshot. Those of the first format are JSON, which begins otherwise.
	snapshotMagic = "harehook group state\n"
	// snapshotFormat is the version of a snapshot's encoding: the magic, this number, the length of the head, the head as
	// JSON, and the snapshot of the records. Format 1 had whole texts.
	snapshotFormat = 2
)

// snapshotHeader is what a snapshot has beside the records. Maps are encoded with their keys in order.
type snapshotHeader struct {
	WholeTexts bool                `json:"whole_texts,omitempty"`
	Versions   []snapshotVersion   `json:"versions"`
	Clients    map[string]*session `json:"clients"`
	Identities map[uint64]string   `json:"identities"`
	Addresses  map[uint64]string   `json:"addresses"`
}

// snapshotVersion is a version without its text.
type snapshotVersion struct {
	Number uint64 `json:"number"`
	Term   uint64 `json:"term"`
	By     string `json:"by,omitempty"`
	Why    string `json:"why,omitempty"`
	At     int64  `json:"at,omitempty"`
}

// Snapshot is the state as bytes; equal states give equal ones. It costs by the size of the state.
func (s *State) Snapshot() ([]byte, error) {
	head := snapshotHeader{WholeTexts: s.WholeTexts, Clients: s.sessions.byClient, Identities: s.Identities, Addresses: s.Addresses}
	for _, v := range s.Versions {
		head.Versions = append(head.Versions, snapshotVersion{Number: v.Number, Term: v.Term, By: v.By, Why: v.Why, At: v.At})
	}
	text, err := json.Marshal(head)
	if err != nil {
		return nil, err
	}
	held := s.store.Snapshot()
	out := make([]byte, 0, len(snapshotMagic)+2*binary.MaxVarintLen64+len(text)+len(held))
	out = append(out, snapshotMagic...)
	out = binary.AppendUvarint(out, snapshotFormat)
	out = binary.AppendUvarint(out, uint64(len(text)))
	out = append(out, text...)
	return append(out, held...), nil
}

// Restore takes a snapshot's state, also one of the first format. One that can't be read leaves the state as it is.
func (s *State) Restore(data []byte) error {
	next := NewState(s.format)
	var err error
	if held, is := bytes.CutPrefix(data, []byte(snapshotMagic)); is {
		err = next.decode(held)
	} else {
		err = next.decodeWholeTexts(data)
	}
	if err != nil {
		return err
	}
	s.Versions, s.sessions, s.Identities, s.Addresses, s.WholeTexts = next.Versions, next.sessions, next.Identities, next.Addresses, next.WholeTexts
	s.store.Replace(next.store)
	if s.OnCommit != nil {
		s.OnCommit(records.Change{Revision: s.store.Revision(), Reset: true})
	}
	return nil
}

func (s *State) decode(data []byte) error {
	format, size := binary.Uvarint(data)
	if size <= 0 || format != snapshotFormat {
		return fmt.Errorf("the state's format is %d, %d and older ones are known", format, snapshotFormat)
	}
	data = data[size:]
	length, size := binary.Uvarint(data)
	if size <= 0 || length > uint64(len(data)-size) {
		return errors.New("the state is cut short")
	}
	data = data[size:]
	var head snapshotHeader
	if err := json.Unmarshal(data[:length], &head); err != nil {
		return fmt.Errorf("the state's head: %w", err)
	}
	for _, v := range head.Versions {
		s.Versions = append(s.Versions, Version{Number: v.Number, Term: v.Term, By: v.By, Why: v.Why, At: v.At})
	}
	s.restoreHeader(head)
	return s.store.Restore(data[length:])
}

// restoreHeader takes what both formats have beside the configuration.
func (s *State) restoreHeader(head snapshotHeader) {
	s.WholeTexts, s.sessions = head.WholeTexts, restoreSessions(head.Clients)
	if head.Identities != nil {
		s.Identities = head.Identities
	}
	if head.Addresses != nil {
		s.Addresses = head.Addresses
	}
}

// decodeWholeTexts reads the first format, in which each version had its whole text. Their records become the history.
// A version whose text can't be read any more is dropped with those before it, unless it is the one in force.
func (s *State) decodeWholeTexts(data []byte) error {
	var saved struct {
		Versions   []Version           `json:"versions"`
		Clients    map[string]*session `json:"clients"`
		Identities map[uint64]string   `json:"identities"`
		Addresses  map[uint64]string   `json:"addresses"`
	}
	if err := json.Unmarshal(data, &saved); err != nil {
		return err
	}
	s.restoreHeader(snapshotHeader{WholeTexts: true, Clients: saved.Clients, Identities: saved.Identities, Addresses: saved.Addresses})
	var fault error
	for _, v := range saved.Versions {
		if fault = s.addWholeText(v); fault != nil {
			s.Versions, s.store = nil, records.NewStore()
			continue
		}
		if len(s.Versions) == 1 {
			s.store.Forget() // what was before is not in the snapshot
		}
	}
	if fault != nil {
		return fmt.Errorf("the configuration in force: %w", fault)
	}
	return nil
}

// addWholeText takes a version of the first format in as records.
func (s *State) addWholeText(v Version) error {
	transaction, err := s.transaction(Command{Kind: CommandPut, Text: v.Text}, s.WholeTexts)
	if err != nil {
		return err
	}
	if _, err := s.store.Apply(v.Number, transaction); err != nil {
		return err
	}
	v.Text = ""
	s.addVersion(v)
	return nil
}
