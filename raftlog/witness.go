package raftlog

import (
	"encoding/binary"
	"errors"
	"os"
)

// slotBytes is the size of a slot of the marker: a batch number, its checksum, and unused bytes.
const slotBytes = 16

// batchNumberBytes is the size of a batch number on disk.
const batchNumberBytes = 8

// errNoSlot says that neither slot of a marker can be read.
var errNoSlot = errors.New("neither of its slots can be read")

// lastBatchMarker is a file that holds the number of the last batch beside the database. The file is called "witness" on
// disk and in errors; it has nothing to do with the witness of other Raft implementations, a member that only votes.
//
// It guards against a database that went back: where bbolt's newest root page is damaged, bbolt opens the state of the
// transaction before without an error, and a vote or an entry that was promised would be forgotten. The database's batch
// number is then lower than the marker's.
//
// There are two slots, which batches use in turn: a crash in the middle of a write leaves the slot of the batch before.
type lastBatchMarker struct {
	file *os.File
}

// openLastBatchMarker opens the file, or makes an empty one.
func openLastBatchMarker(path string) (*lastBatchMarker, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	return &lastBatchMarker{file: file}, nil
}

// Record syncs the number of a batch that the database has.
func (m *lastBatchMarker) Record(batch uint64) error {
	slot := make([]byte, slotBytes)
	binary.BigEndian.PutUint64(slot, batch)
	binary.BigEndian.PutUint32(slot[batchNumberBytes:], checksum(slot[:batchNumberBytes]))
	offset := int64(batch%2) * slotBytes
	if _, err := m.file.WriteAt(slot, offset); err != nil {
		return err
	}
	return m.file.Sync()
}

// LastBatch is the highest batch number that was recorded. The error is an *UnusableError if no slot can be read.
func (m *lastBatchMarker) LastBatch() (uint64, error) {
	last := uint64(0)
	found := false
	for _, offset := range []int64{0, slotBytes} {
		batch, readable := m.readSlot(offset)
		if readable {
			last = max(last, batch)
			found = true
		}
	}
	if !found {
		return 0, &UnusableError{Path: m.file.Name(), Reason: "the witness is damaged", Err: errNoSlot}
	}
	return last, nil
}

// readSlot gives the batch number of a slot, if the slot is there and not damaged.
func (m *lastBatchMarker) readSlot(offset int64) (batch uint64, readable bool) {
	slot := make([]byte, slotBytes)
	if _, err := m.file.ReadAt(slot, offset); err != nil {
		return 0, false
	}
	if binary.BigEndian.Uint32(slot[batchNumberBytes:]) != checksum(slot[:batchNumberBytes]) {
		return 0, false
	}
	return binary.BigEndian.Uint64(slot), true
}

// Close closes the file.
func (m *lastBatchMarker) Close() error { return m.file.Close() }
