package raftlog

import (
	"encoding/binary"
	"os"
)

// The layout of bbolt's two meta pages, which reference the root of the tree. Each has a page header, then a magic
// number, the version, the page size, flags, the root's page and sequence, the page of the free list, and the number of
// pages.
const (
	pageHeaderBytes = 16
	metaBytes       = 56
	metaMagic       = 0xED0CDAED
	pageSizeOffset  = 8  // within the meta data
	pageCountOffset = 40 // within the meta data
)

// checkPages returns an *UnusableError if a database file has fewer pages than its meta pages state.
//
// It guards against a truncated file: bbolt maps the file and would read past its end, a fault that kills the process
// without an error. A meta page without the magic number is skipped, since bbolt checks meta pages itself.
func checkPages(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for _, offset := range []int{0, os.Getpagesize()} {
		metaStart := offset + pageHeaderBytes
		if len(content) < metaStart+metaBytes {
			return &UnusableError{Path: path, Err: errTruncated}
		}
		meta := content[metaStart:]
		if binary.LittleEndian.Uint32(meta) != metaMagic {
			continue
		}
		pageSize := uint64(binary.LittleEndian.Uint32(meta[pageSizeOffset:]))
		pageCount := binary.LittleEndian.Uint64(meta[pageCountOffset:])
		if pageSize == 0 || pageCount > uint64(len(content))/pageSize {
			return &UnusableError{Path: path, Err: errTruncated}
		}
	}
	return nil
}
