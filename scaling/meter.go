package scaling

import (
	"runtime"
	"runtime/debug"
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

// Effort says how much goes into a sample.
type Effort int

// The efforts.
const (
	// Full repeats an operation until its processor time stands out of the noise of collecting garbage.
	Full Effort = iota
	// Brief repeats it a fixed number of times, the fewest: counts and bytes are the same on every run, times say little.
	Brief
)

const (
	fullMinTime = 60 * time.Millisecond // of processor time
	fullMaxTime = 20000                 // operations, where one takes next to nothing
	fullFew     = 3                     // operations at the least, however long one takes
	maxBatch    = 5                     // operations between two looks at the meter
)

// enough tells whether a figure is taken after n operations, of which there are to be few at least.
func (e Effort) enough(m *meter, n, few int) bool {
	return n >= few && (e == Brief || n >= fullMaxTime || m.cpu >= fullMinTime)
}

// repeat meters an operation until enough has gone into it.
func repeat(s *Sample, effort Effort, operation func() error) error {
	if effort == Brief {
		defer pauseCollector()()
	}
	if err := operation(); err != nil { // once to warm up, also the pools that a collection has emptied
		return err
	}
	var m meter
	n := 0
	for batch := 1; !effort.enough(&m, n, fullFew); batch = min(2*batch, maxBatch) {
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

// pauseCollector keeps the garbage collector out of a measurement until the function that it returns is called. The meter
// counts the whole process, and the collector's workers allocate for themselves now and then: 112 bytes of one that waited
// for a semaphore showed as bytes of an operation. All that was collected before is finished first.
func pauseCollector() (resume func()) {
	runtime.GC()
	percent := debug.SetGCPercent(-1)
	return func() { debug.SetGCPercent(percent) }
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
