package raftlog

import (
	"encoding/binary"
	"errors"
	"os"
)

// slotBytes is the size of a slot of the marker: a batch number, its checksum and unused bytes.
const slotBytes = 16

// batchNumberBytes is the size of a batch number on disk.
const batchNumberBytes = 8

// errNoValidSlot is returned when neither slot of a marker is valid.
var errNoValidSlot = errors.New("no valid slot")

// lastBatchMarker is a file that stores the number of the last batch separately from the database. The file is called
// "witness" on disk and in errors; it is unrelated to the witness of other Raft implementations, a member that only
// votes.
//
// It guards against a database that reverts to an older state: if bbolt's newest meta page is damaged, bbolt opens the
// state of the previous transaction without an error, and an acknowledged vote or entry would be lost. The database's
// batch number is then lower than the marker's.
//
// The batches alternate between two slots: a crash in the middle of a write leaves the slot of the previous batch
// intact.
type lastBatchMarker struct {
	file *os.File
}

// openLastBatchMarker opens the file, or creates an empty one.
func openLastBatchMarker(path string) (*lastBatchMarker, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	return &lastBatchMarker{file: file}, nil
}

// Record writes and syncs the number of a batch that is already in the database.
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

// LastBatch returns the highest recorded batch number. The error is an *UnusableError if no slot is valid.
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
		return 0, &UnusableError{Path: m.file.Name(), Reason: "file is damaged", Err: errNoValidSlot}
	}
	return last, nil
}

// readSlot returns the batch number of a slot, and whether the slot exists and is undamaged.
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
