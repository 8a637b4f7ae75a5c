package raftlog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
)

const (
	databaseName = "raft.db"
	markerName   = "witness"       // of the lastBatchMarker; this package knows no vote-only members
	lockTimeout  = 2 * time.Second // for another process that has the database open
)

// Log is the disk of one member: a database, and a marker of its last batch. It is used by one goroutine.
type Log struct {
	folder    string
	db        *bbolt.DB
	marker    *lastBatchMarker
	lastBatch uint64 // number of the last batch that Save began
	failure   error  // of the first Save that failed; every later one returns it
}

// Open opens the log in a folder and reads it, or makes an empty one where the folder has none. It waits 2 s at most for
// another process that has the log open. The error is an *UnusableError if the files are there but must not be used.
func Open(folder string) (*Log, *SavedState, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, err
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	log := &Log{folder: folder}
	saved, err := log.open()
	if err != nil {
		return nil, nil, errors.Join(err, log.Close())
	}
	return log, saved, nil
}

// open opens both files and reads them.
//
// It guards against damaged pages: bbolt panics at a page that cannot be, or follows it out of the mapped file, a fault
// that Open has the runtime turn into a panic. All pages are read here, so that none of it is met later.
func (l *Log) open() (saved *SavedState, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			saved = nil
			err = &UnusableError{Path: l.databasePath(), Err: fmt.Errorf("damaged page: %v", fault)}
		}
	}()
	isNew, err := l.openFiles()
	if err != nil {
		return nil, err
	}
	if isNew {
		if err := l.create(); err != nil {
			return nil, err
		}
	}
	return l.load()
}

// openFiles opens the database and the marker, or makes both.
func (l *Log) openFiles() (isNew bool, err error) {
	isNew, err = l.checkFiles()
	if err != nil {
		return false, err
	}
	if !isNew {
		if err := checkPages(l.databasePath()); err != nil {
			return false, err
		}
	}
	l.db, err = bbolt.Open(l.databasePath(), 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return false, &UnusableError{Path: l.databasePath(), Err: err}
	}
	l.marker, err = openLastBatchMarker(l.markerPath())
	if err != nil {
		return false, err
	}
	return isNew, nil
}

// checkFiles reports whether the folder has neither file, and refuses one of them alone: the other was lost.
//
// It looks before anything is opened, since opening creates a missing file: the next start would find both, and take the
// loss for a folder whose making was cut short.
func (l *Log) checkFiles() (isNew bool, err error) {
	hasDatabase, err := fileExists(l.databasePath())
	if err != nil {
		return false, err
	}
	hasMarker, err := fileExists(l.markerPath())
	if err != nil {
		return false, err
	}
	if hasMarker && !hasDatabase {
		return false, &UnusableError{Path: l.databasePath(), Reason: "it is gone, its witness is there"}
	}
	if hasDatabase && !hasMarker {
		return false, &UnusableError{Path: l.markerPath(), Reason: "it is gone, the log is there"}
	}
	return !hasDatabase, nil
}

// load reads the database and compares it with the marker.
func (l *Log) load() (*SavedState, error) {
	saved, lastBatch, err := readDatabase(l.db)
	if err != nil {
		return nil, &UnusableError{Path: l.databasePath(), Err: err}
	}
	recorded, err := l.marker.LastBatch()
	if err != nil {
		return nil, err
	}
	if lastBatch < recorded {
		reason := fmt.Sprintf("it ends at batch %d, and batch %d was promised", lastBatch, recorded)
		return nil, &UnusableError{Path: l.databasePath(), Reason: reason}
	}
	if err := saved.checkInvariants(); err != nil {
		return nil, &UnusableError{Path: l.databasePath(), Err: err}
	}
	l.lastBatch = lastBatch
	return saved, nil
}

// create fills a new database and marker, and syncs the folder so that the files themselves survive a crash.
func (l *Log) create() error {
	if err := l.db.Update(createBuckets); err != nil {
		return err
	}
	if err := l.marker.Record(0); err != nil {
		return err
	}
	folder, err := os.Open(l.folder)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Save persists a batch: once it has returned nil, the batch survives a crash. An empty batch does nothing.
//
// After an error every later Save returns the same one: once a sync has failed, nobody knows what the disk holds, and
// what it would be asked to hold next must not be promised either.
func (l *Log) Save(batch Batch) error {
	if l.failure != nil || batch.Empty() {
		return l.failure
	}
	l.lastBatch++
	l.failure = l.write(batch)
	return l.failure
}

// write commits a batch to the database, and only then to the marker: a crash between the two leaves the database
// ahead, which has all that was promised.
func (l *Log) write(batch Batch) error {
	commit := func(tx *bbolt.Tx) error { return writeBatch(tx, batch, l.lastBatch) }
	if err := l.db.Update(commit); err != nil {
		return err
	}
	return l.marker.Record(l.lastBatch)
}

// Close closes the files.
func (l *Log) Close() error {
	var errs []error
	if l.db != nil {
		errs = append(errs, l.db.Close())
	}
	if l.marker != nil {
		errs = append(errs, l.marker.Close())
	}
	return errors.Join(errs...)
}

func (l *Log) databasePath() string { return filepath.Join(l.folder, databaseName) }

func (l *Log) markerPath() string { return filepath.Join(l.folder, markerName) }

// fileExists reports whether there is a file. The error is that of looking.
func fileExists(path string) (bool, error) {
	_, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return err == nil, err
}
