package scaling

import (
	"fmt"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// The planted faults in the slopes of records and followers.

// writeTenTenants writes ten tenants for one changed tenant.
func writeTenTenants(tenants int) (Sample, error) {
	return measureRecordChanges(tenants, Brief, func(state *recordState) (int, error) {
		var writes []records.Write
		for range 10 {
			state.changes++
			writes = append(writes, state.writeTenant(state.changes*changeStride%state.tenants, changeShare+float64(state.changes%shareSteps)*shareStep))
		}
		return state.write(writes)
	})
}

// takeSnapshotEachChange takes a snapshot of the state before each change.
func takeSnapshotEachChange(tenants int) (Sample, error) {
	return measureRecordChanges(tenants, Brief, func(state *recordState) (int, error) {
		if _, err := state.replicated.Snapshot(); err != nil {
			return 0, err
		}
		return state.change()
	})
}

// keepHistoryInSnapshot takes a snapshot that contains the history of the initial writes.
func keepHistoryInSnapshot(tenants int) (Sample, error) {
	sample, err := recordMemorySample(tenants, Brief)
	if err != nil {
		return sample, err
	}
	state, err := newRecordState(tenants)
	if err != nil {
		return sample, err
	}
	snapshot, err := state.replicated.Snapshot()
	sample.Values[Stored] = float64(len(snapshot)) / float64(state.services+state.routes+state.tenants)
	return sample, err
}

// restoreTwice restores a snapshot twice.
func restoreTwice(tenants int) (Sample, error) {
	sample := newSample(tenants)
	state, err := newRecordState(tenants)
	if err != nil {
		return sample, err
	}
	state.replicated.Store().DropHistory()
	snapshot, err := state.replicated.Snapshot()
	if err != nil {
		return sample, err
	}
	sample.Values[Stored] = float64(len(snapshot))
	return sample, repeat(&sample, Brief, func() error {
		if err := state.replicated.Restore(snapshot); err != nil {
			return err
		}
		return state.replicated.Restore(snapshot)
	})
}

// readAllRecords reads all records for a scope.
func readAllRecords(tenants int) (Sample, error) {
	return recordReadSample(tenants, Brief, func(store *records.Store, _ records.Scope) error {
		return readAll(store, records.Scope{All: true})
	})
}

// readFullScope reads a full scope for one change.
func readFullScope(tenants int) (Sample, error) { return recordReadSample(tenants, Brief, readAll) }

// sendFullScope discards the state of all followers and opens new streams before each change.
func sendFullScope(followers int) (Sample, error) {
	sample := newSample(followers)
	member, err := newFollowedMember(followers, scopeOf(changedService))
	if err != nil {
		return sample, err
	}
	return sample, measureFollowedChanges(&sample, member, Brief, func(cost *followCost) error {
		for n := range member.followers {
			member.followers[n] = configsync.NewFollower(fmt.Sprint("conductor-", n), member.scope, configsync.DefaultLimits.Lease, nil)
			member.server.Close(member.streams[n])
			if member.streams[n], err = member.server.Open(member.now); err != nil {
				return err
			}
			if err := member.server.Receive(member.now, member.streams[n], member.followers[n].Begin(member.now)); err != nil {
				return err
			}
		}
		return member.commit(cost)
	})
}

// sendToAll sends a change to all followers.
func sendToAll(followers int) (Sample, error) {
	return followSample(followers, Brief, records.Scope{All: true})
}

// sendTenTenants sends ten tenants for one changed tenant.
func sendTenTenants(followers int) (Sample, error) {
	sample := newSample(followers)
	member, err := newSocketMember(followers, longLease)
	if err != nil {
		return sample, err
	}
	defer member.stopAndWait()
	proportions := recordState{services: minServices}
	return sample, socketSample(&sample, member, briefChanges, func() error {
		member.changes++
		var writes []records.Write
		for n := range 10 {
			writes = append(writes, proportions.writeTenant(n*minServices, changeShare+float64(member.changes)*shareStep))
		}
		change, err := member.store.Apply(member.store.Revision()+1, records.Transaction{Writes: writes})
		if err != nil {
			return err
		}
		return member.notify(change)
	})
}
