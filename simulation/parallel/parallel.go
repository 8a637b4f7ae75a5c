// Package parallel executes independent runs on all cores. The command harehook-testbed and the experiments of package
// simulation use it.
package parallel

import (
	"runtime"
	"sync"
)

// Map calls run for each input, with up to runtime.GOMAXPROCS(0) calls in parallel, and returns the results in the
// order of the inputs. It returns when all calls have returned.
func Map[Input, Result any](inputs []Input, run func(Input) Result) []Result {
	results := make([]Result, len(inputs))
	indices := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for index := range indices {
				results[index] = run(inputs[index])
			}
		})
	}
	for index := range inputs {
		indices <- index
	}
	close(indices)
	workers.Wait()
	return results
}
