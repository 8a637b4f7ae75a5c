package scaling

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Slope is a part whose cost is measured by size.
type Slope struct {
	Name      string
	Operation string // what one operation is
	Size      string // what grows
	Method    Method
	Sizes     []int // that Take runs by default, ascending
	Run       func(size int, effort Effort) (Sample, error)
}

// Method says how far from the real thing a figure was measured.
type Method string

// The methods, from the real thing downwards.
const (
	Measured  Method = "measured"  // the real code over real sockets, files or bytes as it runs in service
	Isolated  Method = "isolated"  // the real machines, without the parts around them
	Simulated Method = "simulated" // members or planners on a virtual clock
)

// All lists the slopes in the order of the page.
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

// ErrUnknownSlope is what Find returns for a name that no slope has.
var ErrUnknownSlope = errors.New("no slope has the name")

// Find returns the slopes of a name, or whose names begin with it and a dash; all for "all". The error is
// ErrUnknownSlope.
func Find(name string) (found []Slope, err error) {
	for _, s := range All() {
		if name == "all" || s.Name == name || strings.HasPrefix(s.Name, name+"-") {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("%w %q", ErrUnknownSlope, name)
	}
	return found, nil
}

// Take runs a slope at sizes, or at its own if none are given. After an error it returns the samples before.
func (s Slope) Take(effort Effort, sizes ...int) (samples []Sample, err error) {
	if len(sizes) == 0 {
		sizes = s.Sizes
	}
	for _, size := range sizes {
		sample, err := s.Run(size, effort)
		if err != nil {
			return samples, fmt.Errorf("%s at %d: %w", s.Name, size, err)
		}
		samples = append(samples, sample)
	}
	return samples, nil
}
