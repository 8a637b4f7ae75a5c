package scaling

import (
	"encoding/json"
	"fmt"
	"strings"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/config"
)

// operatorClient is the client ID of all proposals.
const operatorClient = "operator"

// historyVersions is the number of versions that a state holds before it is measured, so that the figures include its
// history.
const historyVersions = 64

// agreedText returns a configuration with the given number of routes, 95 bytes each. Versions 0 and 1 differ in the
// time limit of the first route.
func agreedText(routes, version int) string {
	var text strings.Builder
	text.WriteString("agreed {\n")
	for route := range routes {
		limit := 2000
		if route == 0 {
			limit += version
		}
		fmt.Fprintf(&text, "    route \"r%04d\" { prefix \"/service-%03d/r%04d\"; limit-ms %d; most 0.750000; mutating; }\n", route, route%570, route, limit)
	}
	text.WriteString("}\n")
	return text.String()
}

// encodeAgreedCommand encodes a proposal of text based on the latest version of state.
func encodeAgreedCommand(state *cluster.State, seq uint64, text string) ([]byte, error) {
	return json.Marshal(cluster.Command{
		Kind:   cluster.CommandPut,
		Client: operatorClient,
		Seq:    seq,
		Base:   state.Latest().Number,
		Text:   text,
		By:     operatorClient,
		Why:    "one route's limit changes",
	})
}

// agreedTexts returns two texts that differ in one route.
func agreedTexts(routes int) [2]string {
	return [2]string{agreedText(routes, 0), agreedText(routes, 1)}
}

// applyAgreedChange proposes and applies the one of two texts that is not current, and returns the size of its log
// entry in bytes.
func applyAgreedChange(state *cluster.State, texts [2]string, index uint64) (entryBytes int, err error) {
	data, err := encodeAgreedCommand(state, index, texts[index%2])
	if err != nil {
		return 0, err
	}
	return len(data), applyAccepted(state, index, data)
}

// applyAccepted applies an entry, and returns an error if the state rejects it.
func applyAccepted(state *cluster.State, index uint64, data []byte) error {
	if _, result := state.Apply(index, 1, data); result.Rejected != "" {
		return fmt.Errorf("entry %d was rejected: %s", index, result.Rejected)
	}
	return nil
}

// newAgreedState returns a state that holds historyVersions versions of a text with the given number of routes.
func newAgreedState(routes int) (*cluster.State, error) {
	state := cluster.NewState(config.TextFormat{})
	texts := agreedTexts(routes)
	for index := range uint64(historyVersions) {
		if _, err := applyAgreedChange(state, texts, index+1); err != nil {
			return nil, err
		}
	}
	return state, nil
}

// validateAgreedText returns the error that rejects a text with the given number of routes, nil if the text is
// accepted.
func validateAgreedText(routes int) error {
	return cluster.NewState(config.TextFormat{}).Validate(cluster.Command{
		Kind:   cluster.CommandPut,
		Client: operatorClient,
		Text:   agreedText(routes, 0),
	})
}

// agreedSample measures one changed route at a member: the log entry, validation and apply, and the snapshot.
func agreedSample(routes int, effort Effort) (Sample, error) {
	sample := newSample(routes)
	if err := validateAgreedText(routes); err != nil {
		why, _, _ := strings.Cut(err.Error(), "\n") // the first line: there may be one for each route
		sample.Note = fmt.Sprintf("%d bytes of text rejected: %s", len(agreedText(routes, 0)), why)
		return sample, nil
	}
	heap, state, err := measureHeap(func() (*cluster.State, error) { return newAgreedState(routes) })
	if err != nil {
		return sample, err
	}
	sample.Values[Heap] = heap
	snapshot, err := state.Snapshot()
	if err != nil {
		return sample, err
	}
	sample.Values[Stored] = float64(len(snapshot))
	texts := agreedTexts(routes)
	index := uint64(historyVersions)
	return sample, repeat(&sample, effort, func() error {
		index++
		entryBytes, err := applyAgreedChange(state, texts, index)
		sample.Values[Wire] = float64(entryBytes)
		return err
	})
}

// MaxAgreedRoutes returns the largest number of routes of this form that one agreed text can hold.
func MaxAgreedRoutes() int {
	accepted := 1
	rejected := 2 * OperatorsRoutes
	for accepted+1 < rejected {
		middle := (accepted + rejected) / 2
		if validateAgreedText(middle) == nil {
			accepted = middle
		} else {
			rejected = middle
		}
	}
	return accepted
}

func agreedSlopes() []Slope {
	return []Slope{{
		Name:      "agreed-text",
		Operation: "one changed route in one text; wire: log entry, stored: snapshot after 64 versions, heap: state, cpu and allocations: propose, validate and apply",
		Size:      "routes",
		Method:    Isolated,
		Sizes:     []int{34, 110, 340, 1000, OperatorsRoutes},
		Run:       agreedSample,
	}}
}
