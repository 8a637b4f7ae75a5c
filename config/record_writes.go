package config

import (
	"math"

	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/records"
)

// maxRevision is the highest revision that can be stated: a KDL number is a float64, which represents all integers up
// to this one.
const maxRevision = 1 << 53

// RecordWrite is a write that a file of records describes.
type RecordWrite struct {
	records.Write
	HasRevision bool // the file states the revision that the write expects
}

// ParseRecordWrites parses the text of a file of records that are written in one transaction. A node sets a record
// (route, service, tenant or override, as in an agreed configuration) or removes one (remove "kind/name"). The property
// revision states the revision that the record must have; 0 means that the record must not exist. The error is of type
// kdl.Faults.
func ParseRecordWrites(text string) (writes []RecordWrite, err error) {
	nodes, err := kdl.Parse(text)
	if err != nil {
		return nil, err
	}
	r := newRecordReader()
	for _, n := range nodes {
		writes = append(writes, r.readWrite(n))
	}
	if len(nodes) == 0 {
		r.faults.Add(1, "at least one record is required")
	}
	return writes, r.faults.Err()
}

// readWrite reads one node of a file of records.
func (r *recordReader) readWrite(n *kdl.Node) RecordWrite {
	var write RecordWrite
	write.ExpectedRevision, write.HasRevision = r.extractRevision(n)
	recordsBefore := len(r.records)
	switch n.Name {
	case "route":
		r.readRouteRecord(n, nil)
	case "service":
		r.readServiceRecord(n)
	case "tenant":
		r.readTenantRecord(n)
	case "override":
		r.readOverrideRecord(n)
	case "remove":
		write.Key = r.readRemoval(n)
	default:
		r.faults.Add(n.Line, "unknown key %q: a file of records has route, service, tenant, override and remove", n.Name)
	}
	if len(r.records) > recordsBefore {
		record := r.records[recordsBefore]
		write.Key = record.Key
		write.Body = record.Body
	}
	return write
}

// extractRevision returns the revision that a write expects, and removes the property from the node, because the reader
// of the record rejects it as unknown.
func (r *recordReader) extractRevision(n *kdl.Node) (revision uint64, stated bool) {
	value, stated := n.Properties["revision"]
	if !stated {
		return 0, false
	}
	delete(n.Properties, "revision")
	number := r.numberValue(n, value, 0, maxRevision)
	if number != math.Trunc(number) {
		r.faults.Add(n.Line, "revision must be a whole number, got %v", number)
	}
	return uint64(number), true
}

func (r *recordReader) readRemoval(n *kdl.Node) records.Key {
	r.checkShape(n, 1)
	text := r.stringArgument(n, 0)
	if text == "" {
		return records.Key{}
	}
	key, err := records.ParseKey(text)
	if err != nil {
		r.faults.Add(n.Line, "%v", err)
		return key
	}
	if _, duplicate := r.lineOf[key]; duplicate {
		r.faults.Add(n.Line, "duplicate record %s", key)
	}
	r.lineOf[key] = n.Line
	return key
}
