package followers

import (
	"fmt"
	"maps"
	"math/rand/v2"

	"harehook.dev/harehook/records"
)

// maxRevisionStep is how far a revision may be from the one before: not each entry of a group's log is a transaction.
const maxRevisionStep = 3

// entry is one agreed transaction.
type entry struct {
	revision    uint64
	transaction records.Transaction
}

// agreedLog is the group's log, and the states that it leads to as a naive model computes them: a copy of all records
// at each revision.
type agreedLog struct {
	rng     *rand.Rand
	leader  *records.Store // rejects what the group rejects
	entries []entry
	states  map[uint64]map[records.Key]*records.Record // by revision
	last    uint64                                     // revision
}

func newAgreedLog(rng *rand.Rand) *agreedLog {
	log := &agreedLog{
		rng:    rng,
		leader: records.NewStore(),
		states: map[uint64]map[records.Key]*records.Record{0: {}},
	}
	log.commit(log.firstTransaction())
	return log
}

// commit adds a transaction to the log, at a revision after the last one. It is not committed if the group rejects it.
func (l *agreedLog) commit(transaction records.Transaction) (committed bool) {
	revision := l.last + 1 + uint64(l.rng.IntN(maxRevisionStep))
	if _, err := l.leader.Apply(revision, transaction); err != nil {
		return false
	}
	l.append(revision, transaction)
	return true
}

// append adds an entry and computes the state after it, without the store.
func (l *agreedLog) append(revision uint64, transaction records.Transaction) {
	state := maps.Clone(l.states[l.last])
	for _, write := range transaction.Writes {
		applyWrite(state, revision, write)
	}
	l.entries = append(l.entries, entry{revision: revision, transaction: transaction})
	l.states[revision] = state
	l.last = revision
}

// applyWrite changes a state by a write that the group has accepted. A record that is written as it was keeps its
// revision.
func applyWrite(state map[records.Key]*records.Record, revision uint64, write records.Write) {
	if len(write.Body) == 0 {
		delete(state, write.Key)
		return
	}
	record, err := records.Parse(write.Key, write.Body)
	if err != nil {
		panic(fmt.Sprintf("%s, which the store has accepted, is invalid: %v", write.Key, err))
	}
	record.Revision = revision
	before := state[write.Key]
	if before == nil || !before.SameContent(record) {
		state[write.Key] = record
	}
}

// scopeAt is what a scope holds at a revision, by the model.
func (l *agreedLog) scopeAt(revision uint64, scope records.Scope) map[records.Key]*records.Record {
	received := map[records.Key]*records.Record{}
	for key, record := range l.states[revision] {
		if scope.Contains(record) {
			received[key] = record
		}
	}
	return received
}

// changedRecords are the records that a scope holds differently at two revisions: as they are later, or were before they
// were removed.
func changedRecords(before, after map[records.Key]*records.Record) (changed []*records.Record) {
	for key, record := range after {
		if before[key] != record {
			changed = append(changed, record)
		}
	}
	for key, record := range before {
		if after[key] == nil {
			changed = append(changed, record)
		}
	}
	return changed
}
