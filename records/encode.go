package records

import "encoding/binary"

const (
	// snapshotFormat is the version of a snapshot's encoding.
	snapshotFormat = 2
	// formatWithoutRouting is an older version that can still be decoded. It has no routing revisions.
	formatWithoutRouting = 1
)

// Flags that precede an update in a snapshot's history.
const (
	updateHasBefore = 1 << iota // the record before the update follows
	updateHasAfter              // the record after the update follows
)

// Snapshot encodes the records and the history. Equal stores have equal encodings. The cost grows with the size of the
// state, but only the records added since the last snapshot are sorted.
//
// The encoding consists of a format number, the store's revision, the records ordered by key, the compact revision, the
// changes, and the routing revisions of the services. Numbers are varints; lists, names and bodies are preceded by
// their length.
func (s *Store) Snapshot() []byte {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	const numberBytes = 64 // capacity for the numbers apart from the records
	out := make([]byte, 0, s.index.bytes+s.history.bytes+numberBytes)
	out = binary.AppendUvarint(out, snapshotFormat)
	out = binary.AppendUvarint(out, s.revision)
	out = appendRecords(out, s.sorted.all(&s.index))
	out = s.history.appendTo(out)
	return s.routing.appendTo(out)
}

func appendRecords(out []byte, sorted []*Record) []byte {
	out = binary.AppendUvarint(out, uint64(len(sorted)))
	for _, record := range sorted {
		out = appendRecord(out, record)
	}
	return out
}

func appendRecord(out []byte, record *Record) []byte {
	out = append(out, byte(record.Kind))
	out = binary.AppendUvarint(out, record.Revision)
	out = appendBytes(out, record.Name)
	return appendBytes(out, record.Body)
}

func (h *history) appendTo(out []byte) []byte {
	out = binary.AppendUvarint(out, h.compactRevision)
	out = binary.AppendUvarint(out, uint64(len(h.changes)))
	for _, change := range h.changes {
		out = binary.AppendUvarint(out, change.Revision)
		out = binary.AppendUvarint(out, uint64(len(change.Updates)))
		for _, update := range change.Updates {
			out = appendUpdate(out, update)
		}
	}
	return out
}

func appendUpdate(out []byte, update Update) []byte {
	flags := byte(0)
	if update.Before != nil {
		flags |= updateHasBefore
	}
	if update.After != nil {
		flags |= updateHasAfter
	}
	out = append(out, flags)
	if update.Before != nil {
		out = appendRecord(out, update.Before)
	}
	if update.After != nil {
		out = appendRecord(out, update.After)
	}
	return out
}

func appendBytes[Text string | []byte](out []byte, text Text) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}
