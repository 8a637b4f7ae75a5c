package scaling

import (
	"fmt"
	"math"
)

// Quantity identifies a measured value of a sample.
type Quantity int

// The quantities. Slope.Operation describes one operation.
const (
	CPU           Quantity = iota // microseconds of processor time per operation
	Allocated                     // bytes per operation
	Allocations                   // objects per operation
	Wire                          // bytes on the wire, or of a log entry, per operation
	Messages                      // messages sent per operation
	Stored                        // bytes of a snapshot or on disk
	Heap                          // retained bytes
	quantityCount                 // number of quantities
)

// String returns the name of the quantity with its unit.
func (q Quantity) String() string {
	names := [quantityCount]string{"cpu us", "alloc B", "allocs", "wire B", "messages", "stored B", "heap B"}
	if q < 0 || q >= quantityCount {
		return fmt.Sprintf("Quantity(%d)", int(q))
	}
	return names[q]
}

// Sample holds the values measured at one size.
type Sample struct {
	Size   int
	Values [quantityCount]float64 // by Quantity; NaN where the slope does not measure it
	Note   string                 // on this size, such as the reason for a rejection
}

// newSample returns a sample without values.
func newSample(size int) Sample {
	sample := Sample{Size: size}
	for quantity := range sample.Values {
		sample.Values[quantity] = math.NaN()
	}
	return sample
}
