package scaling

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

// meter sums what the process spends between start and stop, over several stretches.
type meter struct {
	cpu         time.Duration // of the stretches that have ended, as the two below
	allocated   uint64        // bytes
	allocations uint64        // objects

	startCPU    time.Duration // of the present stretch
	startMemory runtime.MemStats
}

// processCPU is the processor time of the process so far, of all its threads and in the system too.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// start begins a stretch.
func (m *meter) start() {
	runtime.ReadMemStats(&m.startMemory)
	m.startCPU = processCPU()
}

// stop ends a stretch.
func (m *meter) stop() {
	cpu := processCPU()
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	m.cpu += cpu - m.startCPU
	m.allocated += now.TotalAlloc - m.startMemory.TotalAlloc
	m.allocations += now.Mallocs - m.startMemory.Mallocs
}

// recordPerOperation sets the values of a sample to what was spent for each of some operations.
func (m *meter) recordPerOperation(s *Sample, operations int) {
	const nanosecondsPerMicrosecond = 1e3
	s.Values[CPU] = float64(m.cpu.Nanoseconds()) / nanosecondsPerMicrosecond / float64(operations)
	s.Values[Allocated] = float64(m.allocated) / float64(operations)
	s.Values[Allocations] = float64(m.allocations) / float64(operations)
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
	fullMinCPU        = 60 * time.Millisecond // of processor time
	fullMaxOperations = 20000                 // operations, where one takes next to nothing
	fullMinOperations = 3                     // operations at the least, however long one takes
	maxBatch          = 5                     // operations between two looks at the meter
)

// isEnough tells whether no more operations are needed for a figure.
func (e Effort) isEnough(m *meter, operations, minOperations int) bool {
	if operations < minOperations {
		return false
	}
	return e == Brief || operations >= fullMaxOperations || m.cpu >= fullMinCPU
}

// String names the effort.
func (e Effort) String() string {
	switch e {
	case Full:
		return "full"
	case Brief:
		return "brief"
	default:
		return fmt.Sprintf("Effort(%d)", int(e))
	}
}

// repeat meters an operation until enough has gone into it. The first call, which warms up, is not metered.
func repeat(s *Sample, effort Effort, operation func() error) error {
	if effort == Brief {
		defer pauseCollector()()
	}
	if err := operation(); err != nil { // warms up also the pools that a collection has emptied
		return err
	}
	var cost meter
	operations := 0
	for batch := 1; !effort.isEnough(&cost, operations, fullMinOperations); batch = min(2*batch, maxBatch) {
		cost.start()
		for range batch {
			if err := operation(); err != nil {
				return err
			}
		}
		cost.stop()
		operations += batch
	}
	cost.recordPerOperation(s, operations)
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

// measureHeap returns the bytes that stay in use by what is built, and that.
func measureHeap[T any](build func() (T, error)) (bytes float64, built T, err error) {
	before := liveHeap()
	built, err = build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return float64(after) - float64(before), built, err
}

// liveHeap is the memory in use after collections that leave nothing that waits for a finalizer.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
