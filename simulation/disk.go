package simulation

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
)

// crashAtSaveFactor sets the chance that a save crashes its member: one in this many times FaultEvery.
const crashAtSaveFactor = 20

// errCrashedAtSave is what a save returns that crashes its member.
var errCrashedAtSave = errors.New("the member crashed at its disk")

// disk is what of a member survives a crash.
type disk struct {
	identity string
	synced   raftlog.SavedState
	unsynced []raftlog.Batch // not synced yet: lost in a crash
}

// newDisk returns the empty disk of a member.
func newDisk(id uint64) *disk {
	return &disk{
		identity: fmt.Sprint("disk-", id),
		synced:   raftlog.SavedState{HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}},
	}
}

// load returns a copy of what the disk holds.
func (d *disk) load() *raftlog.SavedState {
	saved := &raftlog.SavedState{
		Identity:  d.identity,
		HardState: proto.CloneOf(d.synced.HardState),
		Snapshot:  proto.CloneOf(d.synced.Snapshot),
	}
	for _, e := range d.synced.Entries {
		saved.Entries = append(saved.Entries, proto.CloneOf(e))
	}
	return saved
}

// write has the disk hold a batch.
func (d *disk) write(batch raftlog.Batch) {
	if batch.HardState != nil {
		d.synced.HardState = proto.CloneOf(batch.HardState)
	}
	if batch.Snapshot != nil {
		d.writeSnapshot(batch.Snapshot)
	}
	if len(batch.Entries) > 0 {
		d.writeEntries(batch.Entries)
	}
}

// writeSnapshot replaces the entries that a snapshot covers.
func (d *disk) writeSnapshot(snapshot *raftpb.Snapshot) {
	covered := snapshot.GetMetadata().GetIndex()
	d.synced.Entries = slices.DeleteFunc(d.synced.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= covered })
	d.synced.Snapshot = proto.CloneOf(snapshot)
}

// writeEntries replaces the end of the log, from the index of the first entry on.
func (d *disk) writeEntries(entries []*raftpb.Entry) {
	from := entries[0].GetIndex()
	covered := d.synced.Snapshot.GetMetadata().GetIndex()
	d.synced.Entries = slices.DeleteFunc(d.synced.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= from })
	for _, entry := range entries {
		if entry.GetIndex() > covered {
			d.synced.Entries = append(d.synced.Entries, proto.CloneOf(entry))
		}
	}
}

// saveToDisk has a member's disk take a batch. That costs time and may end in a crash, before the sync or after it.
func (w *world) saveToDisk(m *member, batch raftlog.Batch) error {
	w.delaySave(m)
	if w.drawCrashAtSave() {
		if isSynced := w.rng.IntN(2) == 0; isSynced {
			m.disk.write(batch)
		}
		return errCrashedAtSave
	}
	if w.setup.Planted == VoteNotSynced {
		m.disk.unsynced = append(m.disk.unsynced, batch)
		w.schedule(w.setup.Timing.ElectionTicks, m.disk.syncFirst)
		return nil
	}
	m.disk.write(batch)
	return nil
}

// delaySave has a member do nothing while its disk saves.
func (w *world) delaySave(m *member) {
	if w.setup.MaxSyncDelay <= 0 {
		return
	}
	m.busyUntil = w.now + w.rng.IntN(w.setup.MaxSyncDelay+1)
	if m.slowDisk {
		m.busyUntil += w.setup.Timing.ElectionTicks / 2
	}
}

// drawCrashAtSave tells whether a save crashes its member.
func (w *world) drawCrashAtSave() bool {
	if w.now >= w.faultFreeFrom || w.setup.FaultEvery <= 0 {
		return false
	}
	return w.rng.IntN(crashAtSaveFactor*w.setup.FaultEvery) == 0
}

// syncFirst has the disk hold the first batch that is not synced yet, if a crash has left one.
func (d *disk) syncFirst() {
	if len(d.unsynced) > 0 {
		d.write(d.unsynced[0])
		d.unsynced = d.unsynced[1:]
	}
}
