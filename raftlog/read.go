package raftlog

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// readDatabase returns the saved state of a database and the number of its last batch.
func readDatabase(db *bbolt.DB) (saved *SavedState, lastBatch uint64, err error) {
	saved = &SavedState{HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
	read := func(tx *bbolt.Tx) (err error) {
		meta := tx.Bucket(metaBucket)
		entries := tx.Bucket(entriesBucket)
		if meta == nil || entries == nil {
			return errNoBuckets
		}
		lastBatch, err = readMeta(meta, saved)
		if err != nil {
			return err
		}
		saved.Entries, err = readEntries(entries)
		return err
	}
	if err := db.View(read); err != nil {
		return nil, 0, err
	}
	return saved, lastBatch, nil
}

// readMeta reads everything except the entries into saved.
func readMeta(meta *bbolt.Bucket, saved *SavedState) (lastBatch uint64, err error) {
	format, err := readValue(meta, formatKey)
	if err != nil {
		return 0, err
	}
	if len(format) != 1 || format[0] != formatVersion {
		return 0, fmt.Errorf("format version is %v, want %d", format, formatVersion)
	}
	identity, err := readValue(meta, identityKey)
	if err != nil {
		return 0, err
	}
	saved.Identity = string(identity)
	if err := readMessage(meta, hardStateKey, saved.HardState); err != nil {
		return 0, err
	}
	if err := readMessage(meta, snapshotKey, saved.Snapshot); err != nil {
		return 0, err
	}
	number, err := readValue(meta, lastBatchKey)
	if err != nil {
		return 0, err
	}
	if len(number) != batchNumberBytes {
		return 0, fmt.Errorf("last batch number has %d bytes, want %d", len(number), batchNumberBytes)
	}
	return binary.BigEndian.Uint64(number), nil
}

func readEntries(bucket *bbolt.Bucket) ([]*raftpb.Entry, error) {
	var entries []*raftpb.Entry
	err := bucket.ForEach(func(key, stored []byte) error {
		entry, err := readEntry(key, stored)
		if err != nil {
			return fmt.Errorf("entry %x: %w", key, err)
		}
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}

// readEntry decodes an entry and verifies that its index matches its key.
func readEntry(key, stored []byte) (*raftpb.Entry, error) {
	data, err := verifyChecksum(stored)
	if err != nil {
		return nil, err
	}
	entry := &raftpb.Entry{}
	if err := proto.Unmarshal(data, entry); err != nil {
		return nil, err
	}
	if len(key) != indexBytes || entry.GetIndex() != binary.BigEndian.Uint64(key) {
		return nil, fmt.Errorf("index %d does not match the key", entry.GetIndex())
	}
	return entry, nil
}

// readMessage reads the message stored under a key. If there is none, the message is left empty.
func readMessage(meta *bbolt.Bucket, key []byte, into proto.Message) error {
	data, err := readValue(meta, key)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// readValue returns the value stored under a key, or nil if there is none.
func readValue(meta *bbolt.Bucket, key []byte) ([]byte, error) {
	stored := meta.Get(key)
	if stored == nil {
		return nil, nil
	}
	value, err := verifyChecksum(stored)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return value, nil
}
