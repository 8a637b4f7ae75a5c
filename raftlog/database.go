package raftlog

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"

	"go.etcd.io/bbolt"
)

const (
	formatVersion = 2 // of the files; version 1 had no witness file
	identityBytes = 12
	indexBytes    = 8 // length of an entry's key
)

// The buckets of the database, and the keys in the bucket meta.
var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")

	formatKey    = []byte("format")
	identityKey  = []byte("identity")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
	lastBatchKey = []byte("count")
)

// errNoBuckets is returned when the database exists but has no buckets: the process crashed while it created the log,
// before the first Save.
var errNoBuckets = errors.New("no buckets: creation was interrupted before anything was saved; delete the folder")

// createBuckets initializes a new database.
func createBuckets(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucket(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(entriesBucket); err != nil {
		return err
	}
	identity := make([]byte, identityBytes)
	if _, err := rand.Read(identity); err != nil {
		return err
	}
	if err := meta.Put(formatKey, addChecksum([]byte{formatVersion})); err != nil {
		return err
	}
	if err := meta.Put(identityKey, addChecksum([]byte(hex.EncodeToString(identity)))); err != nil {
		return err
	}
	return putLastBatch(meta, 0)
}

// entryKey returns the key of an entry. It is big-endian so that bbolt's key order is the index order.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func putLastBatch(meta *bbolt.Bucket, number uint64) error {
	return meta.Put(lastBatchKey, addChecksum(binary.BigEndian.AppendUint64(nil, number)))
}
