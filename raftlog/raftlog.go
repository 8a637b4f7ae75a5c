// Package raftlog keeps what a member of a Raft group has promised: its vote, its entries and its snapshot. What Save
// has returned for survives a crash. What can't be read whole at a start is refused, never taken for less.
package raftlog

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	format     = 2 // of the files; 1 had no witness
	openWithin = 2 * time.Second
	slotSize   = 16 // bytes of a witness's slot: a count, a checksum, and nothing
)

// SavedState is all that a member has kept.
type SavedState struct {
	Identity  string // of this disk: another one under the same name is another member
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot
}

// Batch is what is to be kept next: entries replace those at and after their first index; a snapshot replaces all
// before it.
type Batch struct {
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot
}

// Empty tells whether there is nothing to keep.
func (b Batch) Empty() bool { return b.HardState == nil && len(b.Entries) == 0 && b.Snapshot == nil }

// UnusableError says why a disk can't be gone on with.
type UnusableError struct{ Reason string }

// Error implements error.
func (r UnusableError) Error() string { return "the log can't be gone on with: " + r.Reason }

var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries")
	keyFormat     = []byte("format")
	keyIdentity   = []byte("identity")
	keyHard       = []byte("hard")
	keySnapshot   = []byte("snapshot")
	keyCount      = []byte("count")
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// Log keeps it in a bbolt file. Beside it stands a witness with the count of the last batch: bbolt goes back to the
// state before where its newest page of roots is damaged, which would forget a vote without a word.
type Log struct {
	db      *bbolt.DB
	witness *os.File
	count   uint64
	broken  error
}

// Open opens a folder's files, or makes them.
func Open(folder string) (b *Log, saved *SavedState, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, err
	}
	path := filepath.Join(folder, "raft.db")
	_, missing := os.Stat(path)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		// bbolt panics, or reads where nothing is, at pages that can't be.
		if p := recover(); p != nil {
			err = UnusableError{fmt.Sprint(path, ": ", p)}
		}
		if err != nil && b != nil {
			b.Close()
			b = nil
		}
	}()
	if missing == nil {
		if err := whole(path); err != nil {
			return nil, nil, err
		}
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openWithin})
	if err != nil {
		return nil, nil, UnusableError{fmt.Sprint(path, ": ", err)}
	}
	b = &Log{db: db}
	witness := filepath.Join(folder, "witness")
	_, lost := os.Stat(witness)
	if b.witness, err = os.OpenFile(witness, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return b, nil, err
	}
	if errors.Is(missing, os.ErrNotExist) {
		if lost == nil {
			return b, nil, UnusableError{path + " is gone, its witness is there"}
		}
		if err := b.create(folder); err != nil {
			return b, nil, err
		}
	} else if lost != nil {
		return b, nil, UnusableError{witness + " is gone, the log is there"}
	}
	saved, err = b.load()
	return b, saved, err
}

// whole tells whether a file has all the pages that its roots speak of: reading beyond its end would be a fault that
// ends the process. Of bbolt's two pages of roots each has a header of 16 bytes, then a magic number, its version, the
// size of a page, flags, the root's page and sequence, the page of free ones, and the number of pages.
func whole(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	const header, magic = 16, 0xED0CDAED
	size := uint64(os.Getpagesize())
	for _, at := range []uint64{0, size} {
		if uint64(len(text)) < at+header+56 {
			return UnusableError{path + " is cut short"}
		}
		meta := text[at+header:]
		if binary.LittleEndian.Uint32(meta) != magic {
			continue
		}
		size := uint64(binary.LittleEndian.Uint32(meta[8:]))
		if pages := binary.LittleEndian.Uint64(meta[40:]); size == 0 || pages > uint64(len(text))/size {
			return UnusableError{path + " is cut short"}
		}
	}
	return nil
}

// create makes the buckets of a new log.
func (b *Log) create(folder string) error {
	identity := make([]byte, 12)
	if _, err := rand.Read(identity); err != nil {
		return err
	}
	err := b.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucket(bucketMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketEntries); err != nil {
			return err
		}
		for key, value := range map[string][]byte{string(keyFormat): {format}, string(keyIdentity): []byte(hex.EncodeToString(identity)),
			string(keyCount): binary.BigEndian.AppendUint64(nil, 0)} {
			if err := meta.Put([]byte(key), sealed(value)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := b.witnessed(0); err != nil {
		return err
	}
	dir, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// sealed puts a checksum before a value.
func sealed(value []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(value, castagnoli)), value...)
}

func unsealed(what string, text []byte) ([]byte, error) {
	if len(text) < 4 || binary.BigEndian.Uint32(text) != crc32.Checksum(text[4:], castagnoli) {
		return nil, UnusableError{what + " is damaged"}
	}
	return text[4:], nil
}

// witnessed notes that a batch is kept: in the slot that the one before did not use.
func (b *Log) witnessed(count uint64) error {
	slot := make([]byte, slotSize)
	binary.BigEndian.PutUint64(slot, count)
	binary.BigEndian.PutUint32(slot[8:], crc32.Checksum(slot[:8], castagnoli))
	if _, err := b.witness.WriteAt(slot, int64(count%2)*slotSize); err != nil {
		return err
	}
	return b.witness.Sync()
}

// seen is the largest count that the witness knows.
func (b *Log) seen() (count uint64, err error) {
	known := false
	for at := range int64(2) {
		slot := make([]byte, slotSize)
		if _, err := b.witness.ReadAt(slot, at*slotSize); err != nil {
			continue
		}
		if binary.BigEndian.Uint32(slot[8:]) == crc32.Checksum(slot[:8], castagnoli) {
			count, known = max(count, binary.BigEndian.Uint64(slot)), true
		}
	}
	if !known {
		return 0, UnusableError{"the witness is damaged"}
	}
	return count, nil
}

func (b *Log) load() (*SavedState, error) {
	s := &SavedState{HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
	err := b.db.View(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
		if meta == nil || entries == nil {
			return UnusableError{"it has no buckets: its making was cut short, and nothing was promised yet; take the folder away"}
		}
		value := func(key []byte) ([]byte, error) {
			text := meta.Get(key)
			if text == nil {
				return nil, nil
			}
			return unsealed(string(key), text)
		}
		kind, err := value(keyFormat)
		if err != nil {
			return err
		}
		if len(kind) != 1 || kind[0] != format {
			return UnusableError{fmt.Sprintf("its format is %v, this program knows %d", kind, format)}
		}
		identity, err := value(keyIdentity)
		if err != nil {
			return err
		}
		s.Identity = string(identity)
		for key, into := range map[string]proto.Message{string(keyHard): s.HardState, string(keySnapshot): s.Snapshot} {
			text, err := value([]byte(key))
			if err != nil {
				return err
			}
			if err := proto.Unmarshal(text, into); err != nil {
				return UnusableError{key + " can't be read"}
			}
		}
		count, err := value(keyCount)
		if err != nil {
			return err
		}
		if len(count) != 8 {
			return UnusableError{"the count can't be read"}
		}
		b.count = binary.BigEndian.Uint64(count)
		return entries.ForEach(func(key, text []byte) error {
			text, err := unsealed(fmt.Sprintf("entry %x", key), text)
			if err != nil {
				return err
			}
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(text, e); err != nil {
				return UnusableError{"an entry can't be read"}
			}
			if len(key) != 8 || e.GetIndex() != binary.BigEndian.Uint64(key) {
				return UnusableError{"an entry stands at another's place"}
			}
			s.Entries = append(s.Entries, e)
			return nil
		})
	})
	if err != nil {
		return nil, err
	}
	seen, err := b.seen()
	if err != nil {
		return nil, err
	}
	if b.count < seen {
		return nil, UnusableError{fmt.Sprintf("it ends at batch %d, and batch %d was promised", b.count, seen)}
	}
	return s, s.check()
}

// check states what holds of every log: no gap, terms that never fall, and nothing committed that is not there.
func (s *SavedState) check() error {
	last := s.Snapshot.GetMetadata().GetIndex()
	term := s.Snapshot.GetMetadata().GetTerm()
	for _, e := range s.Entries {
		switch {
		case e.GetIndex() != last+1:
			return UnusableError{fmt.Sprintf("entry %d follows %d", e.GetIndex(), last)}
		case e.GetTerm() < term:
			return UnusableError{fmt.Sprintf("entry %d is of term %d, the one before of %d", e.GetIndex(), e.GetTerm(), term)}
		}
		last, term = e.GetIndex(), e.GetTerm()
	}
	if s.HardState.GetCommit() > last {
		return UnusableError{fmt.Sprintf("%d was committed, it ends at %d", s.HardState.GetCommit(), last)}
	}
	if s.HardState.GetTerm() < term {
		return UnusableError{fmt.Sprintf("its term is %d, its last entry's %d", s.HardState.GetTerm(), term)}
	}
	return nil
}

// Save keeps a batch. Once it has failed nothing is kept any more: after a failed sync no one knows what the disk has.
func (b *Log) Save(batch Batch) error {
	if b.broken != nil || batch.Empty() {
		return b.broken
	}
	b.count++
	err := b.db.Update(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
		put := func(key []byte, m proto.Message) error {
			text, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			return meta.Put(key, sealed(text))
		}
		if batch.HardState != nil {
			if err := put(keyHard, batch.HardState); err != nil {
				return err
			}
		}
		if s := batch.Snapshot; s != nil {
			if err := put(keySnapshot, s); err != nil {
				return err
			}
			if err := drop(entries, 0, s.GetMetadata().GetIndex()+1); err != nil {
				return err
			}
		}
		if len(batch.Entries) > 0 {
			if err := drop(entries, batch.Entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range batch.Entries {
			text, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := entries.Put(binary.BigEndian.AppendUint64(nil, e.GetIndex()), sealed(text)); err != nil {
				return err
			}
		}
		return meta.Put(keyCount, sealed(binary.BigEndian.AppendUint64(nil, b.count)))
	})
	if err == nil {
		err = b.witnessed(b.count)
	}
	b.broken = err
	return err
}

// drop takes entries away from an index up to before another.
func drop(entries *bbolt.Bucket, from, before uint64) error {
	var keys [][]byte
	c := entries.Cursor()
	end := binary.BigEndian.AppendUint64(nil, before)
	for key, _ := c.Seek(binary.BigEndian.AppendUint64(nil, from)); key != nil && bytes.Compare(key, end) < 0; key, _ = c.Next() {
		keys = append(keys, bytes.Clone(key))
	}
	for _, key := range keys {
		if err := entries.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// Close ends it.
func (b *Log) Close() error {
	var errs []error
	if b.db != nil {
		errs = append(errs, b.db.Close())
	}
	if b.witness != nil {
		errs = append(errs, b.witness.Close())
	}
	return errors.Join(errs...)
}
