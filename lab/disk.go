package lab

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

var errBusy = errors.New("the member crashed at its disk")

// disk is what of a member survives a crash.
type disk struct {
	identity string
	kept     raftlog.Saved
	late     []raftlog.Batch // not synced yet: lost in a crash
}

// newDisk returns the empty disk of a member.
func newDisk(id uint64) *disk {
	return &disk{
		identity: fmt.Sprint("disk-", id),
		kept:     raftlog.Saved{Hard: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}},
	}
}

// load returns a copy of what the disk holds.
func (d *disk) load() *raftlog.Saved {
	saved := &raftlog.Saved{
		Identity: d.identity,
		Hard:     proto.CloneOf(d.kept.Hard),
		Snapshot: proto.CloneOf(d.kept.Snapshot),
	}
	for _, e := range d.kept.Entries {
		saved.Entries = append(saved.Entries, proto.CloneOf(e))
	}
	return saved
}

// save has the disk hold a batch.
func (d *disk) save(b raftlog.Batch) {
	if b.Hard != nil {
		d.kept.Hard = proto.CloneOf(b.Hard)
	}
	first := d.kept.Snapshot.GetMetadata().GetIndex()
	if b.Snapshot != nil {
		at := b.Snapshot.GetMetadata().GetIndex()
		d.kept.Entries = slices.DeleteFunc(d.kept.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= at })
		d.kept.Snapshot, first = proto.CloneOf(b.Snapshot), at
	}
	if len(b.Entries) == 0 {
		return
	}
	from := b.Entries[0].GetIndex()
	d.kept.Entries = slices.DeleteFunc(d.kept.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= from })
	for _, e := range b.Entries {
		if e.GetIndex() > first {
			d.kept.Entries = append(d.kept.Entries, proto.CloneOf(e))
		}
	}
}

// save has a member's disk take a batch, which costs time and may end in a crash, before the sync or after it.
func (w *World) save(m *member, b raftlog.Batch) error {
	if w.set.SyncMost > 0 {
		m.busy = w.now + w.chance.IntN(w.set.SyncMost+1)
		if m.slow {
			m.busy += w.set.Timing.Election / 2
		}
	}
	switch {
	case w.now < w.calmAt && w.set.FaultEvery > 0 && w.chance.IntN(crashAtSave*w.set.FaultEvery) == 0:
		if w.chance.IntN(2) == 0 {
			m.disk.save(b) // the crash comes after the sync
		}
		return errBusy
	case w.set.Planted == VoteNotSynced:
		m.disk.late = append(m.disk.late, b)
		w.after(w.set.Timing.Election, m.disk.syncFirst)
	default:
		m.disk.save(b)
	}
	return nil
}

// syncFirst has the disk hold the first batch that is not synced yet, if a crash has left one.
func (d *disk) syncFirst() {
	if len(d.late) > 0 {
		d.save(d.late[0])
		d.late = d.late[1:]
	}
}
