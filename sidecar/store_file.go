package sidecar

import (
	"errors"
	"os"
	"path/filepath"
)

const (
	temporarySuffix = ".new"
	storeMode       = 0o600
)

// replaceFile writes and syncs a temporary file in the folder of the store file, then renames it to the store file, so
// that a crash leaves either the old or the new file, complete.
func (s *Store) replaceFile(content []byte) error {
	temporary := s.Path + temporarySuffix
	if err := s.writeTemporary(temporary, content); err != nil {
		return err
	}
	if err := s.step("rename"); err != nil {
		return err
	}
	if err := os.Rename(temporary, s.Path); err != nil {
		return err
	}
	if err := s.step("sync folder"); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(s.Path))
}

// writeTemporary writes and syncs the temporary file.
func (s *Store) writeTemporary(path string, content []byte) (err error) {
	if err := s.step("create"); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, storeMode)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if err := s.step("write"); err != nil {
		_, writeErr := file.Write(content[:len(content)/2]) // simulates a crash in the middle of the write
		return errors.Join(err, writeErr)
	}
	if _, err := file.Write(content); err != nil {
		return err
	}
	if err := s.step("sync"); err != nil {
		return err
	}
	return file.Sync()
}

func (s *Store) step(name string) error {
	if s.Step == nil {
		return nil
	}
	return s.Step(name)
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
