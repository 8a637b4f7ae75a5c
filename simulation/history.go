package simulation

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"harehook.dev/harehook/cluster"
)

// maxSearchTime limits the search for a linearization of a history. A history whose search takes longer is accepted as
// linearizable.
const maxSearchTime = 20 * time.Second

// history records the operations of the operators and their results. Each operation has its own client, because an
// operator that received no response cannot make any assumptions about the previous operation.
type history struct {
	operations  []porcupine.Operation
	firstResult map[string]cluster.Result // by client: result of its proposal when first applied
}

// operationInput is the input of an operation on the configuration, which is modeled as a register: a read of its
// version, or a write that is conditional on the version that it is based on.
type operationInput struct {
	isWrite bool
	base    uint64 // version that the write is based on
}

// operationOutput is the result of an operation.
type operationOutput struct {
	version uint64
	ok      bool // the read returned a version, or the write was accepted
	decided bool // the group has decided on the write
}

// clientName returns the client name in the proposals of a client of the history.
func clientName(client int) string { return fmt.Sprint("operator-", client) }

// recordCall records the call of an operation by a new client at a tick. It returns the client and the index of the
// operation.
func (h *history) recordCall(tick int, input operationInput) (client, index int) {
	client = len(h.operations) + 1
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: callTime(tick), Return: noTick})
	return client, len(h.operations) - 1
}

// recordReturn records the return of an operation at a tick, with its output.
func (h *history) recordReturn(tick, index int, output operationOutput) {
	h.operations[index].Return = returnTime(tick)
	h.operations[index].Output = output
}

// callTime and returnTime order all calls of a tick before its returns: operations of one tick are concurrent.
func callTime(tick int) int64   { return int64(2 * tick) }
func returnTime(tick int) int64 { return int64(2*tick + 1) }

// recordApplied records the result of a client's proposal when it is first applied; repetitions are ignored.
func (h *history) recordApplied(applied cluster.AppliedCommand) {
	if h.firstResult == nil {
		h.firstResult = map[string]cluster.Result{}
	}
	client := applied.Command.Client
	if _, known := h.firstResult[client]; !known {
		h.firstResult[client] = applied.Result
	}
}

// writeOutput returns the output of a write from the result of its proposal.
func writeOutput(result cluster.Result) operationOutput {
	return operationOutput{version: result.Version, ok: result.Rejected == "", decided: true}
}

// operationsToCheck returns the operations to check. Whether the group agreed on a proposal without a response is known
// from the log; if it did, the proposal may have taken effect at any time until the end of the run. Operations without
// effect and without response are omitted: they would only lengthen the search for a linearization.
func (h *history) operationsToCheck(lastTick int) (operations []porcupine.Operation) {
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

// checkHistory checks that the history of the operators' operations is linearizable.
func (w *world) checkHistory() {
	if len(w.outcome.Violations) > 0 {
		return
	}
	operations := w.history.operationsToCheck(w.setup.Ticks)
	if porcupine.CheckOperationsTimeout(registerModel, operations, maxSearchTime) == porcupine.Illegal {
		w.addViolation(Linearizable, "the history of the configuration is not linearizable")
	}
}

// registerModel is the sequential specification of the configuration: a register with a version, in which a write
// succeeds only if it is based on the current version.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (legal bool, next any) {
		return stepRegister(state.(uint64), input.(operationInput), output.(operationOutput))
	},
	Equal: func(a, b any) bool { return a == b },
}

// stepRegister reports whether an operation on a register with a version may have an output, and returns the version
// after the operation.
func stepRegister(version uint64, input operationInput, output operationOutput) (legal bool, next uint64) {
	switch {
	case !input.isWrite && !output.ok: // no response
		return true, version
	case !input.isWrite:
		return output.version == version, version
	case output.ok:
		return input.base == version && output.version > version, output.version
	case output.decided: // rejected
		return input.base != version, version
	default: // unknown outcome
		return true, version
	}
}
