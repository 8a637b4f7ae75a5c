package simulation

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
)

// crashAtSaveFactor determines the probability that a member crashes during a save: 1 / (crashAtSaveFactor *
// FaultEvery).
const crashAtSaveFactor = 20

// errCrashedAtSave is returned by a save during which the member crashes.
var errCrashedAtSave = errors.New("member crashed while saving to disk")

// disk holds the persistent state of a member. A crash loses only the unsynced batches.
type disk struct {
	identity string // by which the other members know the disk
	synced   raftlog.SavedState
	unsynced []raftlog.Batch // in order of saving; lost in a crash
}

// newDisk returns the empty disk of a member.
func newDisk(id uint64) *disk {
	return &disk{
		identity: fmt.Sprint("disk-", id),
		synced:   raftlog.SavedState{HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}},
	}
}

// load returns a copy of the synced state.
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

// write adds a batch to the synced state.
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

// writeSnapshot stores a snapshot and deletes the entries that it covers.
func (d *disk) writeSnapshot(snapshot *raftpb.Snapshot) {
	covered := snapshot.GetMetadata().GetIndex()
	d.synced.Entries = slices.DeleteFunc(d.synced.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= covered })
	d.synced.Snapshot = proto.CloneOf(snapshot)
}

// writeEntries replaces the log from the index of the first entry onwards. Entries that the snapshot covers are
// skipped.
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

// saveToDisk saves a batch to a member's disk. A save takes time, and the member may crash before or after the sync.
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
		w.schedule(w.setup.Timing.ElectionTicks, m.disk.syncOldest)
		return nil
	}
	m.disk.write(batch)
	return nil
}

// delaySave blocks a member for the time that a save takes. If MaxSyncDelay is 0, saves take no time.
func (w *world) delaySave(m *member) {
	if w.setup.MaxSyncDelay <= 0 {
		return
	}
	m.busyUntil = w.now + w.rng.IntN(w.setup.MaxSyncDelay+1)
	if m.slowDisk {
		m.busyUntil += w.setup.Timing.ElectionTicks / 2
	}
}

// drawCrashAtSave randomly decides whether a member crashes during a save.
func (w *world) drawCrashAtSave() bool {
	if w.now >= w.faultFreeFrom || w.setup.FaultEvery <= 0 {
		return false
	}
	return w.rng.IntN(crashAtSaveFactor*w.setup.FaultEvery) == 0
}

// syncOldest syncs the oldest unsynced batch. It does nothing if a crash has discarded the unsynced batches.
func (d *disk) syncOldest() {
	if len(d.unsynced) > 0 {
		d.write(d.unsynced[0])
		d.unsynced = d.unsynced[1:]
	}
}
