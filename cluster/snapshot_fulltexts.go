package cluster

import (
	"encoding/json"
	"fmt"

	"harehook.dev/harehook/records"
)

// fullTextSnapshot is the first snapshot format, in which each version contains its full text.
type fullTextSnapshot struct {
	Versions   []Version           `json:"versions"`
	Clients    map[string]*session `json:"clients"`
	Identities map[uint64]string   `json:"identities"`
	Addresses  map[uint64]string   `json:"addresses"`
}

// decodeFullTexts decodes the first format into a new state and converts the texts to the history of records. A version
// whose text can no longer be parsed is dropped together with all earlier versions. If it is the version in effect,
// decodeFullTexts returns an error.
func (s *State) decodeFullTexts(data []byte) error {
	var snapshot fullTextSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	s.restoreHeader(snapshotHeader{FullTexts: true, Clients: snapshot.Clients, Identities: snapshot.Identities, Addresses: snapshot.Addresses})
	var lastError error
	for _, version := range snapshot.Versions {
		lastError = s.addFullText(version)
		if lastError != nil {
			s.Versions = nil
			s.store = records.NewStore()
			continue
		}
		if len(s.Versions) == 1 {
			s.store.DropHistory() // the snapshot has no earlier changes
		}
	}
	if lastError != nil {
		return fmt.Errorf("invalid configuration in effect: %w", lastError)
	}
	return nil
}

// addFullText converts a version of the first format to records and adds it.
func (s *State) addFullText(version Version) error {
	transaction, err := s.restampingTransaction(Command{Kind: CommandPut, Text: version.Text})
	if err != nil {
		return err
	}
	if _, err := s.store.Apply(version.Number, transaction); err != nil {
		return err
	}
	version.Text = ""
	s.addVersion(version)
	return nil
}
