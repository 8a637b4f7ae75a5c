package cluster

import (
	"fmt"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
)

// BenchmarkSnapshot measures the cost of a snapshot: encoding the state and saving it to disk.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []float64{1, 2} {
		b.Run(fmt.Sprintf("size=%g", size), func(b *testing.B) {
			s, index := filledState(b, size)
			s.Store().DropHistory()
			disk, _, err := raftlog.Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer disk.Close()
			for b.Loop() {
				data, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(data)))
				index++
				metadata := &raftpb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}
				if err := disk.Save(raftlog.Batch{Snapshot: &raftpb.Snapshot{Data: data, Metadata: metadata}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRestore measures the cost of restoring a snapshot, at startup or when another member sends it.
func BenchmarkRestore(b *testing.B) {
	s, _ := filledState(b, 1)
	s.Store().DropHistory()
	data, err := s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := NewState(nil).Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEntry(b *testing.B) {
	for _, size := range []float64{0.1, 1} {
		b.Run(fmt.Sprintf("size=%g", size), func(b *testing.B) {
			s, index := filledState(b, size)
			services, tenants := int(expectedServices*size), int(expectedTenants*size)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				write := tenantWrite(i*7919%tenants, services, 0, 0.002+float64(i%5000)*1e-7)
				write.AnyRevision = true
				mustApply(b, s, index+uint64(i), recordsCommand(fmt.Sprint("operator-", i), write))
			}
		})
	}
}
