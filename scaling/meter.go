package scaling

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

// meter sums the process's costs over the intervals between start and stop.
type meter struct {
	cpu         time.Duration // of the completed intervals, as are the two below
	allocated   uint64        // bytes
	allocations uint64        // objects

	startCPU    time.Duration // of the current interval
	startMemory runtime.MemStats
}

// processCPU returns the processor time of the process so far, of all its threads, in user and system mode.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// start begins an interval.
func (m *meter) start() {
	runtime.ReadMemStats(&m.startMemory)
	m.startCPU = processCPU()
}

// stop ends an interval and adds its costs.
func (m *meter) stop() {
	cpu := processCPU()
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	m.cpu += cpu - m.startCPU
	m.allocated += now.TotalAlloc - m.startMemory.TotalAlloc
	m.allocations += now.Mallocs - m.startMemory.Mallocs
}

// recordPerOperation sets the values of a sample to the costs per operation.
func (m *meter) recordPerOperation(sample *Sample, operations int) {
	const nanosecondsPerMicrosecond = 1e3
	sample.Values[CPU] = float64(m.cpu.Nanoseconds()) / nanosecondsPerMicrosecond / float64(operations)
	sample.Values[Allocated] = float64(m.allocated) / float64(operations)
	sample.Values[Allocations] = float64(m.allocations) / float64(operations)
}

// Effort describes how often a sample repeats its operation.
type Effort int

// The efforts.
const (
	// Full repeats an operation until its processor time exceeds the noise of garbage collection.
	Full Effort = iota
	// Brief repeats it the minimum number of times: counts and bytes are the same on every run, times are imprecise.
	Brief
)

const (
	fullMinCPU        = 60 * time.Millisecond // processor time that is enough
	fullMaxOperations = 20000                 // maximum operations, reached where one takes almost no time
	fullMinOperations = 3                     // minimum operations, however long one takes
	maxBatch          = 5                     // maximum operations between two readings of the meter
)

// isEnough reports whether the measurement of a sample needs no more operations.
func (e Effort) isEnough(m *meter, operations, minOperations int) bool {
	if operations < minOperations {
		return false
	}
	return e == Brief || operations >= fullMaxOperations || m.cpu >= fullMinCPU
}

// String returns the name of the effort.
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

// repeat measures an operation until effort is satisfied. The first call is a warm-up and is not measured.
func repeat(sample *Sample, effort Effort, operation func() error) error {
	if effort == Brief {
		defer pauseCollector()()
	}
	if err := operation(); err != nil { // also refills the pools that a garbage collection has emptied
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
	cost.recordPerOperation(sample, operations)
	return nil
}

// pauseCollector disables the garbage collector for a measurement until resume is called, after one complete
// collection. The meter counts the whole process, and the collector's workers sometimes allocate memory too: 112 bytes
// of a worker that waited for a semaphore were counted as bytes of an operation.
func pauseCollector() (resume func()) {
	runtime.GC()
	percent := debug.SetGCPercent(-1)
	return func() { debug.SetGCPercent(percent) }
}

// measureHeap returns the retained bytes of the value that build returns, and the value.
func measureHeap[T any](build func() (T, error)) (bytes float64, value T, err error) {
	before := liveHeap()
	value, err = build()
	after := liveHeap()
	runtime.KeepAlive(value)
	return float64(after) - float64(before), value, err
}

// liveHeap returns the heap in use after two collections, so that objects with finalizers are freed too.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
