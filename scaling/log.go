package scaling

import (
	"os"
	"path/filepath"
	"strings"

	"go.etcd.io/raft/v3/raftpb"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/raftlog"
)

// retainedEntries is the number of entries over which the file and the memory of the log are measured.
const retainedEntries = 64

func logEntry(index uint64, data []byte) *raftpb.Entry {
	term := uint64(1)
	return &raftpb.Entry{Index: &index, Term: &term, Data: data}
}

// saveSample measures the save of one entry to disk, and the file size per entry after retainedEntries of them.
func saveSample(size int, effort Effort) (Sample, error) {
	sample := newSample(size)
	folder, err := os.MkdirTemp("", "harehook-log-")
	if err != nil {
		return sample, err
	}
	defer os.RemoveAll(folder)
	log, _, err := raftlog.Open(folder)
	if err != nil {
		return sample, err
	}
	defer log.Close()
	data := []byte(strings.Repeat("x", size))
	index := uint64(0)
	save := func() error {
		index++
		term, vote, commit := uint64(1), uint64(1), index-1
		return log.Save(raftlog.Batch{
			HardState: &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit},
			Entries:   []*raftpb.Entry{logEntry(index, data)},
		})
	}
	for range retainedEntries {
		if err := save(); err != nil {
			return sample, err
		}
	}
	info, err := os.Stat(filepath.Join(folder, "raft.db"))
	if err != nil {
		return sample, err
	}
	sample.Values[Stored] = float64(info.Size()) / retainedEntries
	return sample, repeat(&sample, effort, save)
}

// entryHeapSample measures the memory per uncompacted entry of the log of a member, without the state of the member.
func entryHeapSample(size int, _ Effort) (Sample, error) {
	sample := newSample(size)
	grow := func() (*cluster.Member, error) {
		group, err := newGroup(1)
		if err != nil {
			return nil, err
		}
		member := group.members[0]
		// A rollback to a version that does not exist is rejected on apply: the state does not change, and the log grows.
		for n := range retainedEntries {
			command := cluster.Command{
				Kind:   cluster.CommandRollBack,
				Client: operatorClient,
				Seq:    uint64(n + 1),
				To:     1,
				Text:   strings.Repeat("x", size),
			}
			if err := group.propose(command); err != nil {
				return nil, err
			}
		}
		return member, nil
	}
	heap, member, err := measureHeap(grow)
	if err != nil {
		return sample, err
	}
	sample.Values[Heap] = heap / float64(member.Status().Entries)
	return sample, nil
}

func logSlopes() []Slope {
	return []Slope{
		{
			Name:      "log-save",
			Operation: "one entry saved to disk; stored: file size per entry",
			Size:      "bytes of the entry",
			Method:    Measured,
			Sizes:     []int{100, 1000, 10000, 100000, 262144},
			Run:       saveSample,
		},
		{
			Name:      "log-memory",
			Operation: "one entry of the log in memory",
			Size:      "bytes of the text in it",
			Method:    Isolated,
			Sizes:     []int{100, 1000, 10000, 100000, 262144},
			Run:       entryHeapSample,
		},
	}
}
