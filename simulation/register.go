package simulation

import "github.com/anishathalye/porcupine"

// input is what an operation asks of the register that the configuration is.
type input struct {
	put  bool
	base uint64
}

// output is what an operation was answered.
type output struct {
	number    uint64
	ok, known bool
}

// register is what a history must be explained by: a version number that is read, and set by who knows the last one.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		now, i, o := state.(uint64), in.(input), out.(output)
		switch {
		case !i.put && !o.ok:
			return true, now // no answer
		case !i.put:
			return o.number == now, now
		case o.ok:
			return i.base == now && o.number > now, o.number
		case o.known:
			return i.base != now, now
		}
		return true, now
	},
	Equal: func(a, b any) bool { return a == b },
}
