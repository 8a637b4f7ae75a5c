package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// meter adds up what the process spends between start and stop, over several stretches.
type meter struct {
	cpu                    time.Duration
	allocated, allocations uint64

	cpuAt    time.Duration
	memoryAt runtime.MemStats
}

// processCPU is the processor time of the process so far, of all its threads and in the system too.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (m *meter) start() {
	runtime.ReadMemStats(&m.memoryAt)
	m.cpuAt = processCPU()
}

func (m *meter) stop() {
	cpu := processCPU()
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	m.cpu += cpu - m.cpuAt
	m.allocated += now.TotalAlloc - m.memoryAt.TotalAlloc
	m.allocations += now.Mallocs - m.memoryAt.Mallocs
}

// into notes what was spent for each of n operations.
func (m *meter) into(s *Sample, n int) {
	s.Values[CPU] = float64(m.cpu.Nanoseconds()) / 1e3 / float64(n)
	s.Values[Allocated] = float64(m.allocated) / float64(n)
	s.Values[Allocations] = float64(m.allocations) / float64(n)
}

// meterLeast is the processor time that one figure is taken over: a few milliseconds are lost in the noise of collecting
// garbage. meterMost bounds the operations, where one of them takes next to nothing.
const (
	meterLeast = 60 * time.Millisecond
	meterMost  = 20000
	meterFew   = 3 // operations at the least, however long one takes
)

// repeat meters an operation until enough time has gone into it.
func repeat(s *Sample, operation func() error) error {
	if err := operation(); err != nil { // once to warm up
		return err
	}
	var m meter
	n := 0
	for batch := 1; n < meterFew || n < meterMost && m.cpu < meterLeast; batch *= 2 {
		m.start()
		for range batch {
			if err := operation(); err != nil {
				return err
			}
		}
		m.stop()
		n += batch
	}
	m.into(s, n)
	return nil
}

// heapOf is the memory that stays in use by what make gives.
func heapOf[T any](build func() (T, error)) (float64, T, error) {
	before := liveHeap()
	made, err := build()
	after := liveHeap()
	runtime.KeepAlive(made)
	return float64(after) - float64(before), made, err
}

// liveHeap is the memory in use after collections that leave nothing that waits for a finalizer.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
