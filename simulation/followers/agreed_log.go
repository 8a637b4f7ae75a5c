package followers

import (
	"fmt"
	"maps"
	"math/rand/v2"

	"harehook.dev/harehook/records"
)

// maxRevisionStep is the largest difference between successive revisions. It is greater than 1 because not every entry
// of a group's log is a transaction.
const maxRevisionStep = 3

// entry is one agreed transaction.
type entry struct {
	revision    uint64
	transaction records.Transaction
}

// agreedLog holds the group's log and the state at each revision. The states are computed by a naive model, which keeps
// a copy of all records for each revision.
type agreedLog struct {
	rng     *rand.Rand
	leader  *records.Store // rejects the transactions that the group rejects
	entries []entry
	states  map[uint64]map[records.Key]*records.Record // by revision
	last    uint64                                     // last revision
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

// commit appends a transaction at a revision after the last one. It reports false if the group rejects the transaction.
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

// applyWrite applies a write that the group has accepted to a state. A write that does not change the content of a
// record does not change its revision.
func applyWrite(state map[records.Key]*records.Record, revision uint64, write records.Write) {
	if len(write.Body) == 0 {
		delete(state, write.Key)
		return
	}
	record, err := records.Parse(write.Key, write.Body)
	if err != nil {
		panic(fmt.Sprintf("the store accepted %s, but it is invalid: %v", write.Key, err))
	}
	record.Revision = revision
	before := state[write.Key]
	if before == nil || !before.SameContent(record) {
		state[write.Key] = record
	}
}

// scopeAt returns the records of a scope at a revision, according to the model.
func (l *agreedLog) scopeAt(revision uint64, scope records.Scope) map[records.Key]*records.Record {
	contents := map[records.Key]*records.Record{}
	for key, record := range l.states[revision] {
		if scope.Contains(record) {
			contents[key] = record
		}
	}
	return contents
}

// changedRecords returns the records of a scope that differ between two revisions: the later version of a changed
// record, the earlier version of a removed one.
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
