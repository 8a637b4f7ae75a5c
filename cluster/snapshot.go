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
	// snapshotMagic is the prefix of a snapshot. Snapshots of the first format are JSON and do not have it.
	snapshotMagic = "harehook group state\n"
	// snapshotFormat is the version of the snapshot encoding: the magic, this number, the length of the header, the
	// header as JSON, and the snapshot of the records. Numbers are varints. Format 1 contains full texts.
	snapshotFormat = 2
)

// errSnapshotTruncated is returned when a snapshot ends within its header.
var errSnapshotTruncated = errors.New("the snapshot is truncated")

// snapshotHeader holds the parts of a snapshot other than the records. Maps are encoded with sorted keys.
type snapshotHeader struct {
	FullTexts  bool                `json:"whole_texts,omitempty"`
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
	At     int64  `json:"at,omitempty"` // Unix time in s
}

// Snapshot encodes the state; equal states have equal encodings. The cost is proportional to the size of the state.
func (s *State) Snapshot() ([]byte, error) {
	header, err := json.Marshal(s.header())
	if err != nil {
		return nil, err
	}
	storeData := s.store.Snapshot()
	out := make([]byte, 0, len(snapshotMagic)+2*binary.MaxVarintLen64+len(header)+len(storeData))
	out = append(out, snapshotMagic...)
	out = binary.AppendUvarint(out, snapshotFormat)
	out = binary.AppendUvarint(out, uint64(len(header)))
	out = append(out, header...)
	return append(out, storeData...), nil
}

func (s *State) header() snapshotHeader {
	header := snapshotHeader{
		FullTexts:  s.FullTexts,
		Clients:    s.sessions.byClient,
		Identities: s.Identities,
		Addresses:  s.Addresses,
	}
	for _, v := range s.Versions {
		header.Versions = append(header.Versions, snapshotVersion{Number: v.Number, Term: v.Term, By: v.By, Why: v.Why, At: v.At})
	}
	return header
}

// Restore replaces the state with that of a snapshot of the current or the first format. If the snapshot cannot be
// decoded, Restore returns an error and leaves the state unchanged.
func (s *State) Restore(data []byte) error {
	restored := NewState(s.format)
	var err error
	if body, found := bytes.CutPrefix(data, []byte(snapshotMagic)); found {
		err = restored.decodeSnapshot(body)
	} else {
		err = restored.decodeFullTexts(data)
	}
	if err != nil {
		return err
	}
	s.Versions = restored.Versions
	s.Identities = restored.Identities
	s.Addresses = restored.Addresses
	s.FullTexts = restored.FullTexts
	s.sessions = restored.sessions
	s.store.Replace(restored.store)
	if s.OnCommit != nil {
		s.OnCommit(records.Change{Revision: s.store.Revision(), Reset: true})
	}
	return nil
}

// decodeSnapshot decodes the data after the magic into a new state.
func (s *State) decodeSnapshot(data []byte) error {
	format, size := binary.Uvarint(data)
	if size <= 0 || format != snapshotFormat {
		return fmt.Errorf("unknown snapshot format %d: only format %d and the JSON format before it are supported", format, snapshotFormat)
	}
	data = data[size:]
	length, size := binary.Uvarint(data)
	if size <= 0 || length > uint64(len(data)-size) {
		return errSnapshotTruncated
	}
	data = data[size:]
	var header snapshotHeader
	if err := json.Unmarshal(data[:length], &header); err != nil {
		return fmt.Errorf("invalid snapshot header: %w", err)
	}
	for _, v := range header.Versions {
		s.Versions = append(s.Versions, Version{Number: v.Number, Term: v.Term, By: v.By, Why: v.Why, At: v.At})
	}
	s.restoreHeader(header)
	return s.store.Restore(data[length:])
}

// restoreHeader restores the fields that both formats contain besides the configuration.
func (s *State) restoreHeader(header snapshotHeader) {
	s.FullTexts = header.FullTexts
	s.sessions = restoreSessions(header.Clients)
	if header.Identities != nil {
		s.Identities = header.Identities
	}
	if header.Addresses != nil {
		s.Addresses = header.Addresses
	}
}
