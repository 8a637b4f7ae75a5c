package settings

// ValueError is returned when the settings contain a value that no controller can work with.
type ValueError struct {
	Key    string // location in the document, such as categories[0].gain
	Value  any    // as decoded; for a list that is empty or too long, its length
	Reason string // description of the fault
}

// Error returns the key and the reason. The reason includes the value where it is useful.
func (e *ValueError) Error() string { return e.Key + ": " + e.Reason }
