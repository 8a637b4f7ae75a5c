package kdl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault describes a mistake at a line of a document.
type Fault struct {
	Line   int
	Reason string
}

// Error implements error.
func (f Fault) Error() string { return fmt.Sprintf("line %d: %s", f.Line, f.Reason) }

// Faults holds all mistakes of a document.
type Faults []Fault

// Error implements error. It returns a line of text for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for index, fault := range f {
		lines[index] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Add adds a fault at a line.
func (f *Faults) Add(line int, format string, args ...any) {
	*f = append(*f, Fault{Line: line, Reason: fmt.Sprintf(format, args...)})
}

// Err returns nil if there are no faults, otherwise all faults ordered by line.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Reason, b.Reason))
	})
	return f
}
