package records

import (
	"encoding/binary"
	"errors"
	"fmt"
)

const (
	// snapshotFormat is the version of a snapshot's encoding.
	snapshotFormat = 2
	// formatWithoutRouting is an older version that is read too: it ends before the revisions of services' routes.
	formatWithoutRouting = 1
)

// The marks before an update of a snapshot's history.
const (
	updateHasBefore = 1 << iota // the record before follows
	updateHasAfter              // the record after follows
)

// Snapshot encodes the records and the history. Equal stores give equal bytes. It costs by the size of the state, but
// sorts only the records that came since the last snapshot.
//
// The encoding is a format number, the store's revision, the records by key, the revision up to which changes are not
// known, the changes, and the revisions of services' routes. Numbers are varints, names and bodies have their length before them.
func (s *Store) Snapshot() []byte {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	held := s.sorted.all(s)
	out := make([]byte, 0, s.bytes+s.history.bytes+64)
	out = binary.AppendUvarint(out, snapshotFormat)
	out = binary.AppendUvarint(out, s.revision)
	out = binary.AppendUvarint(out, uint64(len(held)))
	for _, record := range held {
		out = appendRecord(out, record)
	}
	out = binary.AppendUvarint(out, s.history.compactRevision)
	out = binary.AppendUvarint(out, uint64(len(s.history.changes)))
	for _, change := range s.history.changes {
		out = binary.AppendUvarint(out, change.Revision)
		out = binary.AppendUvarint(out, uint64(len(change.Updates)))
		for _, update := range change.Updates {
			out = appendUpdate(out, update)
		}
	}
	return s.routing.appendTo(out)
}

func appendRecord(out []byte, record *Record) []byte {
	out = append(out, byte(record.Kind))
	out = binary.AppendUvarint(out, record.Revision)
	out = appendBytes(out, record.Name)
	return appendBytes(out, record.Body)
}

func appendUpdate(out []byte, update Update) []byte {
	mark := byte(0)
	if update.Before != nil {
		mark |= updateHasBefore
	}
	if update.After != nil {
		mark |= updateHasAfter
	}
	out = append(out, mark)
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

// Restore replaces the store's content by that of a snapshot, in place: whoever reads the store goes on with the new
// content. A snapshot that can't be read, or whose records break a rule, leaves the store as it was.
func (s *Store) Restore(data []byte) error {
	next := NewStore()
	next.maxBytes, next.history.maxBytes = s.maxBytes, s.history.maxBytes
	if err := next.decode(data); err != nil {
		return fmt.Errorf("snapshot of records: %w", err)
	}
	s.Replace(next)
	return nil
}

// Replace replaces the content by that of another store, which must not be used any more.
func (s *Store) Replace(next *Store) {
	s.contentMutex.Lock()
	defer s.contentMutex.Unlock()
	s.revision, s.bytes = next.revision, next.bytes
	s.byKind, s.byServiceZone, s.routesByPrefix, s.usageByService = next.byKind, next.byServiceZone, next.routesByPrefix, next.usageByService
	s.routing, s.history = next.routing, next.history
	s.sorted.records, s.sorted.added, s.sorted.removed = next.sorted.records, next.sorted.added, next.sorted.removed
	s.lastChangeByKind, s.restoredRevision = map[Kind]uint64{}, next.revision
}

func (s *Store) decode(data []byte) error {
	in := &decoder{remaining: data}
	format := in.number()
	if in.err == nil && format != snapshotFormat && format != formatWithoutRouting {
		return fmt.Errorf("its format is %d, %d and %d are known", format, formatWithoutRouting, snapshotFormat)
	}
	s.revision = in.number()
	if err := s.decodeRecords(in); err != nil {
		return err
	}
	if err := s.decodeHistory(in); err != nil {
		return err
	}
	if err := s.decodeRouting(in, format); err != nil {
		return err
	}
	if len(in.remaining) > 0 {
		return errors.New("it goes on after its end")
	}
	return nil
}

// decodeRouting reads the revisions of services' routes, or derives them where the format has none.
func (s *Store) decodeRouting(in *decoder, format uint64) error {
	routes := s.byKind[KindRoute]
	if format == formatWithoutRouting {
		s.routing.derive(routes, s.history.changes)
		return nil
	}
	if err := s.routing.decode(in); err != nil {
		return err
	}
	return s.routing.check(s.revision, routes)
}

func (s *Store) decodeRecords(in *decoder) error {
	var updates []Update
	sorted := []*Record{}
	for range in.number() {
		record := in.record()
		if in.err != nil {
			return in.err
		}
		if n := len(updates); n > 0 && updates[n-1].After.Key.Compare(record.Key) >= 0 {
			return fmt.Errorf("%s is out of order", record.Key)
		}
		if record.Revision > s.revision {
			return fmt.Errorf("%s has revision %d, over the last one, %d", record.Key, record.Revision, s.revision)
		}
		s.reuseStrings(record, nil)
		s.insert(record)
		sorted = append(sorted, record)
		updates = append(updates, Update{After: record})
	}
	if in.err != nil {
		return in.err
	}
	s.sorted.records, s.sorted.removed = sorted, map[*Record]struct{}{}
	return s.checkRules(updates, 0)
}

func (s *Store) decodeHistory(in *decoder) error {
	s.history.compactRevision = in.number()
	last := s.history.compactRevision
	for range in.number() {
		change := Change{Revision: in.number()}
		for range in.number() {
			update := in.update()
			if in.err != nil {
				return in.err
			}
			change.Updates = append(change.Updates, s.reuseRecord(update))
		}
		if in.err != nil {
			return in.err
		}
		if change.Revision <= last || change.Revision > s.revision {
			return fmt.Errorf("its change %d is out of order", change.Revision)
		}
		last = change.Revision
		s.history.add(change)
	}
	if in.err != nil {
		return in.err
	}
	return s.checkHistory()
}

// checkHistory tells whether the changes lead to the records that are held.
func (s *Store) checkHistory() error {
	for _, update := range mergeChanges(s.history.changes) {
		held := s.get(update.Key())
		if update.After != held {
			return fmt.Errorf("its changes and its records do not agree on %s", update.Key())
		}
	}
	return nil
}

// reuseRecord has an update of the history use the record that the state holds, if it is that one.
func (s *Store) reuseRecord(update Update) Update {
	if update.After == nil {
		return update
	}
	held := s.get(update.After.Key)
	if held != nil && held.Revision == update.After.Revision && held.SameContent(update.After) {
		update.After = held
	}
	return update
}

// decoder reads a snapshot; after its first error it gives zeros.
type decoder struct {
	remaining []byte
	err       error
}

func (d *decoder) failDamaged() {
	if d.err == nil {
		d.err = errors.New("it is cut short or damaged")
	}
	d.remaining = nil
}

func (d *decoder) number() uint64 {
	value, size := binary.Uvarint(d.remaining)
	if size <= 0 {
		d.failDamaged()
		return 0
	}
	d.remaining = d.remaining[size:]
	return value
}

func (d *decoder) byte() byte {
	if len(d.remaining) == 0 {
		d.failDamaged()
		return 0
	}
	first := d.remaining[0]
	d.remaining = d.remaining[1:]
	return first
}

func (d *decoder) bytes() []byte {
	size := d.number()
	if size > uint64(len(d.remaining)) {
		d.failDamaged()
		return nil
	}
	text := d.remaining[:size]
	d.remaining = d.remaining[size:]
	return text
}

// record reads a record whose body has to be in canonical form: else equal states would not give equal bytes.
func (d *decoder) record() *Record {
	kind, revision := Kind(d.byte()), d.number()
	name, body := string(d.bytes()), d.bytes()
	if d.err != nil {
		return nil
	}
	record, err := parseCanonical(Key{Kind: kind, Name: name}, body)
	if err != nil {
		d.err = err
		return nil
	}
	record.Revision = revision
	return record
}

func (d *decoder) update() (update Update) {
	mark := d.byte()
	if mark&updateHasBefore != 0 {
		update.Before = d.record()
	}
	if mark&updateHasAfter != 0 {
		update.After = d.record()
	}
	if d.err == nil && update.Before == nil && update.After == nil {
		d.failDamaged()
	}
	return update
}
