package records

import "encoding/binary"

// decoder decodes the elements of a snapshot. After its first error it returns zero values, so that callers need to
// check err only after several elements, and before the elements are used in a loop.
type decoder struct {
	remaining []byte
	err       error
}

func (d *decoder) failDamaged() {
	if d.err == nil {
		d.err = errDamaged
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

// record decodes a record. Its body must be in canonical form: otherwise, equal states could have different encodings.
func (d *decoder) record() *Record {
	kind := Kind(d.byte())
	revision := d.number()
	name := string(d.bytes())
	body := d.bytes()
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

// update decodes an update of the history, which must have a record before it, after it, or both.
func (d *decoder) update() Update {
	var update Update
	flags := d.byte()
	if flags&updateHasBefore != 0 {
		update.Before = d.record()
	}
	if flags&updateHasAfter != 0 {
		update.After = d.record()
	}
	if d.err == nil && update.Before == nil && update.After == nil {
		d.failDamaged()
	}
	return update
}
