package simulation

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
)

// crashAtSave is the chance that a save crashes its member: one in this many times FaultEvery.
const crashAtSave = 20

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
func (d *disk) write(b raftlog.Batch) {
	if b.HardState != nil {
		d.synced.HardState = proto.CloneOf(b.HardState)
	}
	first := d.synced.Snapshot.GetMetadata().GetIndex()
	if b.Snapshot != nil {
		at := b.Snapshot.GetMetadata().GetIndex()
		d.synced.Entries = slices.DeleteFunc(d.synced.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= at })
		d.synced.Snapshot, first = proto.CloneOf(b.Snapshot), at
	}
	if len(b.Entries) == 0 {
		return
	}
	from := b.Entries[0].GetIndex()
	d.synced.Entries = slices.DeleteFunc(d.synced.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= from })
	for _, e := range b.Entries {
		if e.GetIndex() > first {
			d.synced.Entries = append(d.synced.Entries, proto.CloneOf(e))
		}
	}
}

// saveToDisk has a member's disk take a batch, which costs time and may end in a crash, before the sync or after it.
func (w *world) saveToDisk(m *member, b raftlog.Batch) error {
	if w.setup.MaxSyncDelay > 0 {
		m.busyUntil = w.now + w.rng.IntN(w.setup.MaxSyncDelay+1)
		if m.slowDisk {
			m.busyUntil += w.setup.Timing.ElectionTicks / 2
		}
	}
	switch {
	case w.now < w.faultFreeFrom && w.setup.FaultEvery > 0 && w.rng.IntN(crashAtSave*w.setup.FaultEvery) == 0:
		if w.rng.IntN(2) == 0 {
			m.disk.write(b) // the crash comes after the sync
		}
		return errCrashedAtSave
	case w.setup.Planted == VoteNotSynced:
		m.disk.unsynced = append(m.disk.unsynced, b)
		w.schedule(w.setup.Timing.ElectionTicks, m.disk.syncFirst)
	default:
		m.disk.write(b)
	}
	return nil
}

// syncFirst has the disk hold the first batch that is not synced yet, if a crash has left one.
func (d *disk) syncFirst() {
	if len(d.unsynced) > 0 {
		d.write(d.unsynced[0])
		d.unsynced = d.unsynced[1:]
	}
}
