package scaling

import (
	"fmt"
	"math"
)

// Quantity is something that a sample has a value of.
type Quantity int

// The quantities. What one operation is, the slope's Operation says.
const (
	CPU           Quantity = iota // microseconds of the process per operation
	Allocated                     // bytes per operation
	Allocations                   // objects per operation
	Wire                          // bytes on the wire, or of a log entry, per operation
	Messages                      // sent per operation
	Stored                        // bytes of a snapshot or on disk
	Heap                          // bytes that stay in use
	quantityCount                 // how many there are
)

// String names the quantity and its unit.
func (q Quantity) String() string {
	names := [quantityCount]string{"cpu us", "alloc B", "allocs", "wire B", "messages", "stored B", "heap B"}
	if q < 0 || q >= quantityCount {
		return fmt.Sprintf("Quantity(%d)", int(q))
	}
	return names[q]
}

// Sample is what one size took.
type Sample struct {
	Size   int
	Values [quantityCount]float64 // by Quantity; NaN where the slope does not measure it
	Note   string                 // of this size alone, such as why it was rejected
}

// newSample returns a sample without values.
func newSample(size int) Sample {
	sample := Sample{Size: size}
	for quantity := range sample.Values {
		sample.Values[quantity] = math.NaN()
	}
	return sample
}
