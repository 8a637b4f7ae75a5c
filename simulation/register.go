package simulation

import "github.com/anishathalye/porcupine"

// operationInput is what an operation asks of the register that the configuration is.
type operationInput struct {
	isWrite bool
	base    uint64
}

// operationOutput is what an operation was answered.
type operationOutput struct {
	number       uint64
	ok, answered bool
}

// registerModel is what a history must be explained by: a version number that is read, and set by who knows the last one.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		now, i, o := state.(uint64), in.(operationInput), out.(operationOutput)
		switch {
		case !i.isWrite && !o.ok:
			return true, now // no answer
		case !i.isWrite:
			return o.number == now, now
		case o.ok:
			return i.base == now && o.number > now, o.number
		case o.answered:
			return i.base != now, now
		}
		return true, now
	},
	Equal: func(a, b any) bool { return a == b },
}
