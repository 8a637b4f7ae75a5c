package raftlog

import (
	"bytes"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// writeBatch writes a batch and its number to the database.
func writeBatch(tx *bbolt.Tx, batch Batch, number uint64) error {
	meta := tx.Bucket(metaBucket)
	entries := tx.Bucket(entriesBucket)
	if batch.HardState != nil {
		if err := putMessage(meta, hardStateKey, batch.HardState); err != nil {
			return err
		}
	}
	if batch.Snapshot != nil {
		if err := putSnapshot(meta, entries, batch.Snapshot); err != nil {
			return err
		}
	}
	if err := putEntries(entries, batch.Entries); err != nil {
		return err
	}
	return putLastBatch(meta, number)
}

// putSnapshot replaces the snapshot and deletes the entries that it covers.
func putSnapshot(meta, entries *bbolt.Bucket, snapshot *raftpb.Snapshot) error {
	if err := putMessage(meta, snapshotKey, snapshot); err != nil {
		return err
	}
	return deleteEntries(entries, 0, snapshot.GetMetadata().GetIndex()+1)
}

// putEntries replaces the existing entries from the first added entry's index on.
func putEntries(entries *bbolt.Bucket, added []*raftpb.Entry) error {
	if len(added) == 0 {
		return nil
	}
	if err := deleteEntries(entries, added[0].GetIndex(), ^uint64(0)); err != nil {
		return err
	}
	for _, entry := range added {
		if err := putMessage(entries, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries whose index is at least from and less than before.
func deleteEntries(entries *bbolt.Bucket, from, before uint64) error {
	var keys [][]byte
	end := entryKey(before)
	cursor := entries.Cursor()
	for key, _ := cursor.Seek(entryKey(from)); key != nil && bytes.Compare(key, end) < 0; key, _ = cursor.Next() {
		keys = append(keys, bytes.Clone(key))
	}
	for _, key := range keys {
		if err := entries.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, addChecksum(data))
}
