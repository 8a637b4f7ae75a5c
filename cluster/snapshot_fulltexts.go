package cluster

import (
	"encoding/json"
	"fmt"

	"harehook.dev/harehook/records"
)

// fullTextSnapshot is the first format of a snapshot, in which each version had its full text.
type fullTextSnapshot struct {
	Versions   []Version           `json:"versions"`
	Clients    map[string]*session `json:"clients"`
	Identities map[uint64]string   `json:"identities"`
	Addresses  map[uint64]string   `json:"addresses"`
}

// decodeFullTexts reads the first format into a new state. The records of the texts become the history. A version whose
// text cannot be read any more is dropped with those before it, unless it is the one in effect.
func (s *State) decodeFullTexts(data []byte) error {
	var saved fullTextSnapshot
	if err := json.Unmarshal(data, &saved); err != nil {
		return err
	}
	s.restoreHeader(snapshotHeader{FullTexts: true, Clients: saved.Clients, Identities: saved.Identities, Addresses: saved.Addresses})
	var lastError error
	for _, version := range saved.Versions {
		lastError = s.addFullText(version)
		if lastError != nil {
			s.Versions = nil
			s.store = records.NewStore()
			continue
		}
		if len(s.Versions) == 1 {
			s.store.Forget() // what was before is not in the snapshot
		}
	}
	if lastError != nil {
		return fmt.Errorf("the configuration in force: %w", lastError)
	}
	return nil
}

// addFullText adds a version of the first format as records.
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
