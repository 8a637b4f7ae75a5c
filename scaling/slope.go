package scaling

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Slope describes a part whose cost is measured as a function of its size.
type Slope struct {
	Name      string
	Operation string // description of one operation
	Size      string // description of the size and its unit
	Method    Method
	Sizes     []int // default sizes of Measure, ascending
	Run       func(size int, effort Effort) (Sample, error)
}

// Method describes how close to production a figure is measured.
type Method string

// The methods, from the closest to production to the farthest.
const (
	Measured  Method = "measured"  // the production code over real sockets, files or encoded bytes
	Isolated  Method = "isolated"  // the production state machines, without the parts around them
	Simulated Method = "simulated" // members or planners on a virtual clock
)

// All returns the slopes in the order of docs/CAPACITY.md.
func All() []Slope {
	return slices.Concat(
		stepSlopes(),
		agreedSlopes(),
		pushSlopes(),
		listSlopes(),
		reportSlopes(),
		logSlopes(),
		memorySlopes(),
		groupSlopes(),
		recordSlopes(),
		followSlopes(),
		socketSlopes(),
	)
}

// ErrUnknownSlope is returned by Find when no slope has the given name.
var ErrUnknownSlope = errors.New("unknown slope")

// Find returns the slopes with the given name, or whose names begin with it and a dash. The name "all" selects all
// slopes. If there is none, the error is ErrUnknownSlope.
func Find(name string) (found []Slope, err error) {
	for _, slope := range All() {
		if name == "all" || slope.Name == name || strings.HasPrefix(slope.Name, name+"-") {
			found = append(found, slope)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("%w %q", ErrUnknownSlope, name)
	}
	return found, nil
}

// Measure runs a slope at sizes, or at s.Sizes if none are given. On an error it also returns the samples before
// the error.
func (s Slope) Measure(effort Effort, sizes ...int) (samples []Sample, err error) {
	if len(sizes) == 0 {
		sizes = s.Sizes
	}
	for _, size := range sizes {
		sample, err := s.Run(size, effort)
		if err != nil {
			return samples, fmt.Errorf("%s at size %d: %w", s.Name, size, err)
		}
		samples = append(samples, sample)
	}
	return samples, nil
}
