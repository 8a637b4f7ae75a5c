package settings

// ValueError says that no controller can work by a value of the settings.
type ValueError struct {
	Key    string // where it stands in the document, such as categories[0].gain
	Value  any    // as decoded; of a key that names too many or none, their number
	Reason string // what is wrong with it
}

// Error gives the key and the reason, which names the value where it helps.
func (e *ValueError) Error() string { return e.Key + ": " + e.Reason }
