package loadtest

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"harehook.dev/harehook/records"
)

// Digest is a sum over the contents and revisions of records, in any order.
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

// Model is what the group has agreed on, told by the answers to proposals. It knows what each controller has to hold at
// each revision.
type Model struct {
	controllers []Controller
	records     map[records.Key]*records.Record
	versions    [][]version // by controller, ascending
	loaded      uint64      // revision of the last transaction of the load
}

// NewModel makes one of a group that has agreed on nothing.
func NewModel(controllers []Controller) *Model {
	return &Model{controllers: controllers, records: map[records.Key]*records.Record{}, versions: make([][]version, len(controllers))}
}

// scopeKey is where records stand: an empty name concerns all.
type scopeKey struct{ service, zone string }

// Load notes the transactions that were agreed on before the first controller came.
func (m *Model) Load(transaction records.Transaction, revision uint64) error {
	if _, err := m.apply(transaction, revision); err != nil {
		return err
	}
	m.loaded = revision
	return nil
}

// FinishLoad ends the load: from here on each change is followed by itself.
func (m *Model) FinishLoad() {
	sums := map[scopeKey]Digest{}
	for _, record := range m.records {
		sums[scopeKey{record.Service, record.Zone}] += digestOf(record)
	}
	for at, controller := range m.controllers {
		var sum Digest
		for _, service := range append(slices.Clone(controller.Scope.Services), "") {
			for _, zone := range append(slices.Clone(controller.Scope.Zones), "") {
				sum += sums[scopeKey{service, zone}]
			}
		}
		m.versions[at] = []version{{m.loaded, sum}}
	}
}

// ApplyChange notes a transaction and gives the controllers whose scope it touches.
func (m *Model) ApplyChange(transaction records.Transaction, revision uint64) (interested []int, err error) {
	updates, err := m.apply(transaction, revision)
	if err != nil {
		return nil, err
	}
	for at, controller := range m.controllers {
		difference, touched := Digest(0), false
		for _, update := range updates {
			if controller.Scope.Contains(update.Before) {
				difference -= digestOf(update.Before)
				touched = true
			}
			if controller.Scope.Contains(update.After) {
				difference += digestOf(update.After)
				touched = true
			}
		}
		if touched {
			last := m.versions[at][len(m.versions[at])-1]
			m.versions[at] = append(m.versions[at], version{revision, last.digest + difference})
			interested = append(interested, at)
		}
	}
	return interested, nil
}

func (m *Model) apply(transaction records.Transaction, revision uint64) (updates []records.Update, err error) {
	for _, write := range transaction.Writes {
		update := records.Update{Before: m.records[write.Key]}
		if len(write.Body) == 0 {
			delete(m.records, write.Key)
		} else {
			if update.After, err = records.Parse(write.Key, write.Body); err != nil {
				return nil, err
			}
			update.After.Revision = revision
			m.records[write.Key] = update.After
		}
		updates = append(updates, update)
	}
	return updates, nil
}

// DigestAt is the digest that a controller has to hold at a revision; known is false for revisions before the end of the load.
func (m *Model) DigestAt(controller int, revision uint64) (digest Digest, known bool) {
	versions := m.versions[controller]
	after, _ := slices.BinarySearchFunc(versions, revision+1, func(v version, want uint64) int {
		switch {
		case v.revision < want:
			return -1
		case v.revision > want:
			return 1
		}
		return 0
	})
	if after == 0 {
		return 0, false
	}
	return versions[after-1].digest, true
}
