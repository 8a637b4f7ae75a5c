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
	markerName   = "witness"       // of the lastBatchMarker; unrelated to vote-only members
	lockTimeout  = 2 * time.Second // how long Open waits for another process to close the database
)

// Log is the durable storage of one member: a database and the marker of its last batch. It must be used by only one
// goroutine at a time.
type Log struct {
	folder    string
	db        *bbolt.DB
	marker    *lastBatchMarker
	lastBatch uint64 // number of the last batch passed to write
	failure   error  // error of the first Save that failed; every later Save returns it
}

// Open opens and reads the log in a folder, or creates an empty one if the folder has none. It waits at most 2 s for
// another process that has the log open. The error is an *UnusableError if the files exist but must not be used.
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
// It guards against damaged pages. bbolt panics on an invalid page, or follows a reference out of the mapped file; Open
// has the runtime turn that memory fault into a panic as well. open recovers from both and returns an *UnusableError.
// All pages are read here, so that damage is detected now and not later.
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

// openFiles opens the database and the marker, and creates both if neither exists.
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
		return false, &UnusableError{Path: l.databasePath(), Reason: "cannot be opened (a timeout means that another process has it open)", Err: err}
	}
	l.marker, err = openLastBatchMarker(l.markerPath())
	if err != nil {
		return false, err
	}
	return isNew, nil
}

// checkFiles reports whether the folder has neither file. It returns an *UnusableError if only one exists: the other
// was lost.
//
// The check runs before anything is opened, since opening creates a missing file: the next start would find both files
// and mistake the loss for an interrupted creation.
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
		return false, &UnusableError{Path: l.databasePath(), Reason: "file is missing, but witness exists"}
	}
	if hasDatabase && !hasMarker {
		return false, &UnusableError{Path: l.markerPath(), Reason: "file is missing, but raft.db exists"}
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
		reason := fmt.Sprintf("older than the witness file: last batch is %d, but the witness records batch %d", lastBatch, recorded)
		return nil, &UnusableError{Path: l.databasePath(), Reason: reason}
	}
	if err := saved.checkInvariants(); err != nil {
		return nil, &UnusableError{Path: l.databasePath(), Err: err}
	}
	l.lastBatch = lastBatch
	return saved, nil
}

// create initializes a new database and marker, and syncs the folder so that the files themselves survive a crash.
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

// Save persists a batch: once it has returned nil, the batch survives a crash. An empty batch is ignored.
//
// After an error every later Save returns the same error: once a sync has failed, the content of the disk is unknown,
// so no further batch may be acknowledged.
func (l *Log) Save(batch Batch) error {
	if l.failure != nil || batch.Empty() {
		return l.failure
	}
	l.lastBatch++
	l.failure = l.write(batch)
	return l.failure
}

// write commits a batch to the database and only then to the marker: a crash between the two leaves the database ahead,
// which contains everything that was acknowledged.
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

// fileExists reports whether a file exists. The error is that of os.Stat.
func fileExists(path string) (bool, error) {
	_, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return err == nil, err
}
