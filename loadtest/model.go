package loadtest

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"

	"harehook.dev/harehook/records"
)

// Digest is the sum of the hashes of records, each over its contents and revision. It does not depend on the order of
// the records, and a single record can be added to or subtracted from it.
type Digest uint64

// digestOf returns the digest of one record.
func digestOf(record *records.Record) Digest {
	hash := fnv.New64a()
	hash.Write([]byte{byte(record.Kind)})
	hash.Write([]byte(record.Name))
	hash.Write([]byte{0})
	hash.Write(binary.LittleEndian.AppendUint64(nil, record.Revision))
	hash.Write(record.Body)
	return Digest(hash.Sum64())
}

// DigestOfAll returns the digest of all records that a controller has received.
func DigestOfAll(received map[records.Key]*records.Record) (sum Digest) {
	for _, record := range received {
		sum += digestOf(record)
	}
	return sum
}

// version is the digest of a scope from its revision until the next version.
type version struct {
	revision uint64
	digest   Digest
}

// Model holds the configuration that the group has agreed on, according to the answers to proposals. It computes the
// expected records of each controller at each revision, independently of the store that the members use.
type Model struct {
	controllers []Controller
	records     map[records.Key]*records.Record
	versions    [][]version // by controller index, in ascending order of revisions
	loaded      uint64      // revision of the last transaction of the initial load
}

// NewModel returns the model of a group without records.
func NewModel(controllers []Controller) *Model {
	return &Model{
		controllers: controllers,
		records:     map[records.Key]*records.Record{},
		versions:    make([][]version, len(controllers)),
	}
}

// scopeKey holds the attributes by which a scope selects records. Records with an empty service or zone apply to all
// services or zones.
type scopeKey struct{ service, zone string }

// Load applies a transaction that was agreed on before the first controller was started. It returns an error if a
// record cannot be parsed.
func (m *Model) Load(transaction records.Transaction, revision uint64) error {
	if _, err := m.apply(transaction, revision); err != nil {
		return err
	}
	m.loaded = revision
	return nil
}

// FinishLoad ends the initial load: it computes the first version of each controller's scope. Each later change adds a
// version.
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

// scopeDigest returns the digest of the records in a scope.
func scopeDigest(scope records.Scope, sums map[scopeKey]Digest) (sum Digest) {
	for _, service := range append(slices.Clone(scope.Services), "") {
		for _, zone := range append(slices.Clone(scope.Zones), "") {
			sum += sums[scopeKey{service, zone}]
		}
	}
	return sum
}

// ApplyChange applies a transaction that was agreed on after the initial load. It returns the indices of the
// controllers whose scope it affects, and an error if a record cannot be parsed.
func (m *Model) ApplyChange(transaction records.Transaction, revision uint64) (interested []int, err error) {
	updates, err := m.apply(transaction, revision)
	if err != nil {
		return nil, err
	}
	for index, controller := range m.controllers {
		difference, affected := digestDifference(controller.Scope, updates)
		if !affected {
			continue
		}
		versions := m.versions[index]
		last := versions[len(versions)-1]
		m.versions[index] = append(versions, version{revision: revision, digest: last.digest + difference})
		interested = append(interested, index)
	}
	return interested, nil
}

// digestDifference returns the change of a scope's digest by updates, and whether the updates affect the scope.
func digestDifference(scope records.Scope, updates []records.Update) (difference Digest, affected bool) {
	for _, update := range updates {
		if scope.Contains(update.Before) {
			difference -= digestOf(update.Before)
			affected = true
		}
		if scope.Contains(update.After) {
			difference += digestOf(update.After)
			affected = true
		}
	}
	return difference, affected
}

// apply applies a transaction to the records and returns the updates.
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

// DigestAt returns the expected digest of a controller's records at a revision. It is not known for revisions before
// the end of the initial load.
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
