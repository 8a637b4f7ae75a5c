package records

import (
	"fmt"
	"testing"
)

func BenchmarkApply(b *testing.B) {
	for _, size := range []float64{0.1, 1, 2} {
		b.Run(fmt.Sprintf("size=%g", size), func(b *testing.B) {
			s := filledStore(b, size)
			services, tenants := int(expectedServices*size), int(expectedTenants*size)
			transactions := make([]Transaction, 4096)
			for i := range transactions {
				transactions[i].Writes = []Write{tenantWrite(i*7919%tenants, services, 0.002+float64(i)*1e-7)}
			}
			revision := s.Revision()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				revision++
				if _, err := s.Apply(revision, transactions[i%len(transactions)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkInScopeOfSixServices(b *testing.B) {
	for _, size := range []float64{0.1, 1} {
		b.Run(fmt.Sprintf("size=%g", size), func(b *testing.B) {
			s := filledStore(b, size)
			scope := Scope{Zones: []string{"zone-01"}}
			for i := range 6 {
				scope.Services = append(scope.Services, serviceName(i))
			}
			b.ReportAllocs()
			for b.Loop() {
				s.InScope(scope)
			}
		})
	}
}

func BenchmarkSinceOneChange(b *testing.B) {
	s := filledStore(b, 1)
	apply(b, s, tenantWrite(1, expectedServices, 0.002))
	scope := Scope{Services: []string{serviceName(1)}}
	b.ReportAllocs()
	for b.Loop() {
		s.Since(s.Revision()-1, scope)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []float64{1, 2} {
		b.Run(fmt.Sprintf("size=%g", size), func(b *testing.B) {
			s := filledStore(b, size)
			s.DropHistory()
			b.ReportAllocs()
			for b.Loop() {
				s.sorted.invalidate() // so that each snapshot sorts all records
				b.SetBytes(int64(len(s.Snapshot())))
			}
		})
	}
}

// BenchmarkNextSnapshot measures 100 changes and the snapshot after them.
func BenchmarkNextSnapshot(b *testing.B) {
	for _, size := range []float64{1, 2} {
		b.Run(fmt.Sprintf("size=%g", size), func(b *testing.B) {
			s := filledStore(b, size)
			s.DropHistory()
			s.Snapshot()
			share := 0.002
			for b.Loop() {
				for i := range 100 {
					share += 1e-7
					apply(b, s, tenantWrite(i*997, int(expectedServices*size), share))
				}
				b.SetBytes(int64(len(s.Snapshot())))
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	snapshot := filledStore(b, 1).Snapshot()
	b.ReportAllocs()
	for b.Loop() {
		if err := NewStore().Restore(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}
