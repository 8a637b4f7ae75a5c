package fakeplatform

import "fmt"

// Fault is what goes wrong with a call to the relay.
type Fault int

// The faults of calls. "Executed" says that the commands were carried out all the same, "ignored" that they were not.
const (
	NoFault                 Fault = iota
	ExecutedWithoutResponse       // the connection stays open
	IgnoredWithoutResponse        // the connection stays open
	ExecutedThenBroken            // the connection breaks without a response
	IgnoredThenBroken             // the connection breaks after the last byte of the call
	ExecutedGarbledResponse       // the response cannot be read
	ExecutedLateResponse          // the response comes when no one waits any more
	ExecutedHalfResponse          // the connection breaks within the response
	RejectedNotStarted            // the run has not begun
	RejectedInvalid               // the relay cannot read the call
	RejectedInternal              // an error of the relay's own
	ExecutedEndlessResponse       // the response comes a byte now and then and never ends
)

// String is the name of the fault.
func (f Fault) String() string {
	names := [...]string{"no fault", "executed without response", "ignored without response", "executed then broken",
		"ignored then broken", "executed, garbled response", "executed, late response", "executed, half a response",
		"rejected: not started", "rejected: invalid", "rejected: internal", "executed, endless response"}
	if f < 0 || int(f) >= len(names) {
		return fmt.Sprintf("Fault(%d)", int(f))
	}
	return names[f]
}
