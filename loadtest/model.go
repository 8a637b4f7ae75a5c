package loadtest

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"

	"harehook.dev/harehook/records"
)

// Digest is a sum over the contents and revisions of records: their order does not matter, and a record can be added or
// taken away.
type Digest uint64

// digestOf is the part of one record.
func digestOf(record *records.Record) Digest {
	hash := fnv.New64a()
	hash.Write([]byte{byte(record.Kind)})
	hash.Write([]byte(record.Name))
	hash.Write([]byte{0})
	hash.Write(binary.LittleEndian.AppendUint64(nil, record.Revision))
	hash.Write(record.Body)
	return Digest(hash.Sum64())
}

// DigestOfAll is the digest of all records held.
func DigestOfAll(received map[records.Key]*records.Record) (sum Digest) {
	for _, record := range received {
		sum += digestOf(record)
	}
	return sum
}

// version is the digest of a scope from a revision on.
type version struct {
	revision uint64
	digest   Digest
}

// Model is what the group has agreed on, by the answers to proposals. It knows what each controller has to hold at each
// revision, without the store that the members use.
type Model struct {
	controllers []Controller
	records     map[records.Key]*records.Record
	versions    [][]version // by controller, ascending
	loaded      uint64      // revision of the last transaction of the load
}

// NewModel returns the model of a group that has agreed on nothing.
func NewModel(controllers []Controller) *Model {
	return &Model{
		controllers: controllers,
		records:     map[records.Key]*records.Record{},
		versions:    make([][]version, len(controllers)),
	}
}

// scopeKey is what a scope selects records by; an empty name is of a record that concerns all.
type scopeKey struct{ service, zone string }

// Load adds a transaction that was agreed on before the first controller was started. The error is of a record that
// cannot be read.
func (m *Model) Load(transaction records.Transaction, revision uint64) error {
	if _, err := m.apply(transaction, revision); err != nil {
		return err
	}
	m.loaded = revision
	return nil
}

// FinishLoad ends the load: it computes what each controller holds first. After it, each change has a version of its own.
func (m *Model) FinishLoad() {
	sums := map[scopeKey]Digest{}
	for _, record := range m.records {
		sums[scopeKey{record.Service, record.Zone}] += digestOf(record)
	}
	for index, controller := range m.controllers {
		first := version{revision: m.loaded, digest: scopeDigest(controller.Scope, sums)}
		m.versions[index] = []version{first}
	}
}

// scopeDigest sums the digests of the records in a scope.
func scopeDigest(scope records.Scope, sums map[scopeKey]Digest) (sum Digest) {
	for _, service := range append(slices.Clone(scope.Services), "") {
		for _, zone := range append(slices.Clone(scope.Zones), "") {
			sum += sums[scopeKey{service, zone}]
		}
	}
	return sum
}

// ApplyChange adds a transaction that was agreed on after the load. It returns the controllers whose scope it touches, by
// index. The error is of a record that cannot be read.
func (m *Model) ApplyChange(transaction records.Transaction, revision uint64) (interested []int, err error) {
	updates, err := m.apply(transaction, revision)
	if err != nil {
		return nil, err
	}
	for index, controller := range m.controllers {
		difference, touched := scopeDifference(controller.Scope, updates)
		if !touched {
			continue
		}
		versions := m.versions[index]
		last := versions[len(versions)-1]
		m.versions[index] = append(versions, version{revision: revision, digest: last.digest + difference})
		interested = append(interested, index)
	}
	return interested, nil
}

// scopeDifference is by how much updates change the digest of a scope, and whether they touch it.
func scopeDifference(scope records.Scope, updates []records.Update) (difference Digest, touched bool) {
	for _, update := range updates {
		if scope.Contains(update.Before) {
			difference -= digestOf(update.Before)
			touched = true
		}
		if scope.Contains(update.After) {
			difference += digestOf(update.After)
			touched = true
		}
	}
	return difference, touched
}

// apply changes the records by a transaction.
func (m *Model) apply(transaction records.Transaction, revision uint64) (updates []records.Update, err error) {
	for _, write := range transaction.Writes {
		before := m.records[write.Key]
		if len(write.Body) == 0 {
			delete(m.records, write.Key)
			updates = append(updates, records.Update{Before: before})
			continue
		}
		after, err := records.Parse(write.Key, write.Body)
		if err != nil {
			return nil, fmt.Errorf("record %s at revision %d: %w", write.Key, revision, err)
		}
		after.Revision = revision
		m.records[write.Key] = after
		updates = append(updates, records.Update{Before: before, After: after})
	}
	return updates, nil
}

// DigestAt is the digest that a controller has to hold at a revision; it is not known for revisions before the end of the
// load.
func (m *Model) DigestAt(controller int, revision uint64) (digest Digest, known bool) {
	versions := m.versions[controller]
	later, _ := slices.BinarySearchFunc(versions, revision+1, func(v version, target uint64) int {
		return cmp.Compare(v.revision, target)
	})
	if later == 0 {
		return 0, false
	}
	return versions[later-1].digest, true
}
