package records

import "encoding/binary"

// decoder reads the parts of a snapshot. After its first error it gives zeros, so that a caller checks err after several
// parts, and before it uses them in a loop.
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

// record reads a record whose body has to be in canonical form: else equal states would not give equal bytes.
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

// update reads an update of the history, which has a record before or after it, or both.
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
