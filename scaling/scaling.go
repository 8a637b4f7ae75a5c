// Package scaling measures how the cost of each part of the control plane grows with its size. A Slope runs one part
// at several sizes and notes what each took: processor time of the process, bytes and objects allocated, bytes on the
// wire or on disk, memory that stays. Fit turns the samples into a growth exponent and a straight line, which
// docs/CAPACITY.md holds against the operators' budget.
//
// Processor time is that of the process (getrusage) and not wall time, so that other load on the machine shows in it
// as little as possible. Tests bound only what is the same on every run: counts, bytes and their growth.
package scaling

import (
	"fmt"
	"math"
	"strings"
)

// Budget is what one controller may spend on control at the operators' size.
const (
	BudgetCore           = 0.011     // of one core
	BudgetMemory         = 128 << 20 // bytes
	BudgetBandwidth      = 16 << 10  // bytes a second
	OperatorsNodes       = 13000
	OperatorsControllers = 1700
	OperatorsServices    = 570
	OperatorsRoutes      = 3400
	OperatorsTenants     = 140000
	OperatorsZones       = 42
)

// Quantity is something that a sample tells.
type Quantity int

// The quantities. What is "per operation" is told by the slope's Operation.
const (
	CPU         Quantity = iota // microseconds of the process per operation
	Allocated                   // bytes per operation
	Allocations                 // objects per operation
	Wire                        // bytes on the wire, or of a log entry, per operation
	Messages                    // sent per operation
	Stored                      // bytes of a snapshot or on disk
	Heap                        // bytes that stay in use
	quantities                  // how many there are
)

// String names the quantity and its unit.
func (q Quantity) String() string {
	return [...]string{"cpu us", "alloc B", "allocs", "wire B", "messages", "stored B", "heap B"}[q]
}

// Sample is what one size took. A quantity that the slope does not tell is NaN.
type Sample struct {
	Size   int
	Values [quantities]float64
	Note   string // of this size alone, such as a refusal
}

func newSample(size int) Sample {
	s := Sample{Size: size}
	for q := range s.Values {
		s.Values[q] = math.NaN()
	}
	return s
}

// Slope is a part whose cost is taken by size.
type Slope struct {
	Name      string
	Operation string // what one operation is
	Size      string // what grows
	Method    Method
	Sizes     []int
	Run       func(size int, effort Effort) (Sample, error)
}

// Method says how far from the real thing a figure was taken.
type Method string

// The methods, from the real thing downwards. Arithmetic is never a slope's: it is what the page does with slopes.
const (
	Measured  Method = "measured"  // the real code over real sockets, files or bytes as it runs in service
	Isolated  Method = "isolated"  // the real machines, without the parts around them
	Simulated Method = "simulated" // members or modules on a clock of the harness
)

// All lists the slopes in the order of the page.
func All() []Slope {
	var all []Slope
	for _, part := range [][]Slope{stepSlopes(), agreedSlopes(), pushSlopes(), listSlopes(), reportSlopes(), logSlopes(),
		memorySlopes(), groupSlopes(), recordSlopes(), followSlopes(), socketSlopes()} {
		all = append(all, part...)
	}
	return all
}

// Find gives the slopes of a name, or whose names begin with it and a dash; all for "all".
func Find(name string) ([]Slope, error) {
	var found []Slope
	for _, s := range All() {
		if name == "all" || s.Name == name || strings.HasPrefix(s.Name, name+"-") {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("no slope is called %q", name)
	}
	return found, nil
}

// Take runs a slope at sizes, or at its own if there are none given.
func (s Slope) Take(effort Effort, sizes ...int) ([]Sample, error) {
	if len(sizes) == 0 {
		sizes = s.Sizes
	}
	var samples []Sample
	for _, size := range sizes {
		sample, err := s.Run(size, effort)
		if err != nil {
			return samples, fmt.Errorf("%s at %d: %w", s.Name, size, err)
		}
		samples = append(samples, sample)
	}
	return samples, nil
}
