package scaling

import (
	"fmt"
	"testing"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// The faults that are planted in the slopes of records and followers.

// serviceWritten writes ten tenants where one changes.
func serviceWritten(tenants int) (Sample, error) {
	return recordChanges(tenants, Brief, func(r *recordState) (int, error) {
		var writes []records.Write
		for range 10 {
			r.changes++
			writes = append(writes, r.tenant(r.changes*farApart%r.tenants, changeShare+float64(r.changes%shareSteps)*stepShare))
		}
		return r.write(writes)
	})
}

func snapshotEachChange(tenants int) (Sample, error) {
	return recordChanges(tenants, Brief, func(r *recordState) (int, error) {
		if _, err := r.state.Snapshot(); err != nil {
			return 0, err
		}
		return r.change()
	})
}

func historyKept(tenants int) (Sample, error) {
	s, err := recordMemorySample(tenants, Brief)
	if err != nil {
		return s, err
	}
	r, err := newRecordState(tenants)
	if err != nil {
		return s, err
	}
	snapshot, err := r.state.Snapshot()
	s.Values[Stored] = float64(len(snapshot)) / float64(r.services+r.routes+r.tenants)
	return s, err
}

func restoredTwice(tenants int) (Sample, error) {
	s := newSample(tenants)
	r, err := newRecordState(tenants)
	if err != nil {
		return s, err
	}
	r.state.Store().Forget()
	snapshot, err := r.state.Snapshot()
	if err != nil {
		return s, err
	}
	s.Values[Stored] = float64(len(snapshot))
	return s, repeat(&s, Brief, func() error {
		if err := r.state.Restore(snapshot); err != nil {
			return err
		}
		return r.state.Restore(snapshot)
	})
}

func allRead(tenants int) (Sample, error) {
	return recordReadSample(tenants, Brief, func(store *records.Store, _ records.Scope) error {
		return readAll(store, records.Scope{All: true})
	})
}

func scopeRead(tenants int) (Sample, error) { return recordReadSample(tenants, Brief, readAll) }

// wholeScopeTold has all followers lose what they hold and open another stream before each change.
func wholeScopeTold(followers int) (Sample, error) {
	s := newSample(followers)
	f, err := newFollowMember(followers, scopeOf(changedService))
	if err != nil {
		return s, err
	}
	return s, followChanges(&s, f, Brief, func(cost *followCost) error {
		for n := range f.followers {
			f.followers[n] = configsync.NewFollower(fmt.Sprint("conductor-", n), f.scope, configsync.DefaultLimits.Lease, nil)
			f.server.Close(f.streams[n])
			if f.streams[n], err = f.server.Open(f.now); err != nil {
				return err
			}
			if err := f.server.Receive(f.now, f.streams[n], f.followers[n].Begin(f.now)); err != nil {
				return err
			}
		}
		return f.commit(cost)
	})
}

func toldToAll(followers int) (Sample, error) {
	return followSample(followers, Brief, records.Scope{All: true})
}

// serviceTold tells of ten tenants where one changes.
func serviceTold(followers int) (Sample, error) {
	s := newSample(followers)
	m, err := newSocketMember(followers, quietLease)
	if err != nil {
		return s, err
	}
	defer m.end()
	r := recordState{services: fewestServices}
	return s, socketSample(&s, m, changesBrief, func() error {
		m.changes++
		var writes []records.Write
		for n := range 10 {
			writes = append(writes, r.tenant(n*fewestServices, changeShare+float64(m.changes)*stepShare))
		}
		change, err := m.store.Apply(m.store.Revision()+1, records.Transaction{Writes: writes})
		if err != nil {
			return err
		}
		return m.tell(change)
	})
}

// A change costs the same in a tenth of the operators' state as in the whole. Counts and bytes are compared, not times.
func TestRecordChangeAtOperatorsSize(t *testing.T) {
	const most = 1.2
	tenth, err := recordChangeSample(OperatorsTenants/10, Brief)
	if err != nil {
		t.Fatal(err)
	}
	full, err := recordChangeSample(OperatorsTenants, Brief)
	if err != nil {
		t.Fatal(err)
	}
	for _, q := range []Quantity{Wire, Stored, Allocations, Allocated} {
		if raced && q.ofMemory() {
			continue
		}
		t.Logf("%s: %.4g at a tenth, %.4g at the whole", q, tenth.Values[q], full.Values[q])
		if !(full.Values[q] <= most*tenth.Values[q]) {
			t.Errorf("%s grows from %.4g to %.4g", q, tenth.Values[q], full.Values[q])
		}
	}
}
