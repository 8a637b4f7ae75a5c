package fakeplatform

import "fmt"

// Fault describes a fault in the processing of a call to the relay.
type Fault int

// The faults of calls. "Executed" means that the relay executes the commands despite the fault, "Ignored" that it does
// not.
const (
	NoFault                 Fault = iota
	ExecutedWithoutResponse       // the connection stays open
	IgnoredWithoutResponse        // the connection stays open
	ExecutedThenBroken            // the connection is closed without a response
	IgnoredThenBroken             // the connection is closed after the last byte of the call
	ExecutedGarbledResponse       // the response cannot be parsed
	ExecutedLateResponse          // the response arrives after the caller has stopped waiting
	ExecutedHalfResponse          // the connection is closed in the middle of the response
	RejectedNotStarted            // the relay's run has not started
	RejectedInvalid               // the relay cannot parse the call
	RejectedInternal              // internal error of the relay
	ExecutedEndlessResponse       // the response arrives slowly, byte by byte, and never ends
)

// String returns the name of the fault.
func (f Fault) String() string {
	names := [...]string{"no fault", "executed without response", "ignored without response", "executed then broken",
		"ignored then broken", "executed, garbled response", "executed, late response", "executed, half a response",
		"rejected: not started", "rejected: invalid", "rejected: internal", "executed, endless response"}
	if f < 0 || int(f) >= len(names) {
		return fmt.Sprintf("Fault(%d)", int(f))
	}
	return names[f]
}
