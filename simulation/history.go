package simulation

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"harehook.dev/harehook/cluster"
)

// maxSearchTime bounds the search for an order that explains a history. A history whose search takes longer counts as
// explained.
const maxSearchTime = 20 * time.Second

// history is what operators asked of the group and were answered. Each operation is by a client of its own, since an
// operator who got no answer may not assume anything of the operation before.
type history struct {
	operations  []porcupine.Operation
	firstResult map[string]cluster.Result // by client: of its proposal, when it was first applied
}

// operationInput is what an operation asks of the register that the configuration is: to read its version, or to set it
// by who knows the last one.
type operationInput struct {
	isWrite bool
	base    uint64 // version that the write is based on
}

// operationOutput is what an operation was answered.
type operationOutput struct {
	version  uint64
	ok       bool // the read has a version, or the write was accepted
	answered bool // the group has decided on the write
}

// clientName is the name by which a client of the history proposes.
func clientName(client int) string { return fmt.Sprint("operator-", client) }

// begin adds an operation of a new client at a tick. It returns the client and the index of the operation.
func (h *history) begin(tick int, input operationInput) (client, index int) {
	client = len(h.operations) + 1
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: callTime(tick), Return: noTick})
	return client, len(h.operations) - 1
}

// end notes at a tick what an operation was answered.
func (h *history) end(tick, index int, output operationOutput) {
	h.operations[index].Return = returnTime(tick)
	h.operations[index].Output = output
}

// callTime and returnTime have all calls of a tick come before its returns: operations of one tick are concurrent.
func callTime(tick int) int64   { return int64(2 * tick) }
func returnTime(tick int) int64 { return int64(2*tick + 1) }

// recordApplied notes the result of a client's proposal. A repeated proposal has the result of the first one.
func (h *history) recordApplied(applied cluster.AppliedCommand) {
	if h.firstResult == nil {
		h.firstResult = map[string]cluster.Result{}
	}
	client := applied.Command.Client
	if _, known := h.firstResult[client]; !known {
		h.firstResult[client] = applied.Result
	}
}

// writeOutput is the answer to a proposal.
func writeOutput(result cluster.Result) operationOutput {
	return operationOutput{version: result.Version, ok: result.Rejected == "", answered: true}
}

// decided returns the operations that say something of the group. A proposal whose answer never came was agreed, or not:
// the log says which, and it may have been at any time until the end. What had no effect and no answer is left out: it
// would only make the search for an order long.
func (h *history) decided(lastTick int) (operations []porcupine.Operation) {
	for _, operation := range h.operations {
		isWrite := operation.Input.(operationInput).isWrite
		if operation.Return == noTick {
			result, applied := h.firstResult[clientName(operation.ClientId)]
			if !applied || !isWrite {
				continue
			}
			operation.Return = callTime(lastTick + 1)
			operation.Output = writeOutput(result)
		}
		if isWrite || operation.Output.(operationOutput).ok {
			operations = append(operations, operation)
		}
	}
	return operations
}

// checkHistory checks that some order of the operations explains what operators were answered.
func (w *world) checkHistory() {
	if len(w.outcome.Violations) > 0 {
		return
	}
	operations := w.history.decided(w.setup.Ticks)
	if porcupine.CheckOperationsTimeout(registerModel, operations, maxSearchTime) == porcupine.Illegal {
		w.addViolation(Linearizable, "the configuration's history is not linearizable")
	}
}

// registerModel is what a history must be explained by: a version that is read, and set by who knows the last one.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (legal bool, next any) {
		return stepRegister(state.(uint64), input.(operationInput), output.(operationOutput))
	},
	Equal: func(a, b any) bool { return a == b },
}

// stepRegister tells whether a register with a version may answer an operation so, and which version it then has.
func stepRegister(version uint64, input operationInput, output operationOutput) (legal bool, next uint64) {
	switch {
	case !input.isWrite && !output.ok: // no answer
		return true, version
	case !input.isWrite:
		return output.version == version, version
	case output.ok:
		return input.base == version && output.version > version, output.version
	case output.answered: // rejected
		return input.base != version, version
	default: // unknown outcome
		return true, version
	}
}
