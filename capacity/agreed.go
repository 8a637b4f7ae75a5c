package capacity

import (
	"encoding/json"
	"fmt"
	"strings"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/install"
)

// versionsKept is how many whole texts a member keeps to go back to, and a snapshot holds.
const versionsKept = 64

// agreedText is a configuration of so many routes, 95 bytes each.
func agreedText(routes int) string {
	var b strings.Builder
	b.WriteString("agreed {\n")
	for r := range routes {
		fmt.Fprintf(&b, "    route \"r%04d\" { prefix \"/service-%03d/r%04d\"; limit-ms 2000; most 0.750000; mutating; }\n", r, r%570, r)
	}
	b.WriteString("}\n")
	return b.String()
}

// agreedCommand proposes a text over the version in force.
func agreedCommand(state *cluster.State, seq uint64, text string) ([]byte, error) {
	return json.Marshal(cluster.Command{Kind: cluster.Put, Client: "operator", Seq: seq, Base: state.Current().Number, Text: text,
		By: "operator", Why: "one route's limit changes"})
}

// agreedState is a state with so many versions of a text, and the place of its last entry.
func agreedState(text string, check func(string) error) (*cluster.State, uint64, error) {
	state, index := cluster.NewState(check), uint64(0)
	for range versionsKept {
		index++
		data, err := agreedCommand(state, index, text)
		if err != nil {
			return nil, 0, err
		}
		if _, r := state.Apply(index, 1, data); r.Refused != "" {
			return nil, 0, fmt.Errorf("refused: %s", r.Refused)
		}
	}
	return state, index, nil
}

// agreedSample meters one changed route at a member: log entry, apply with its check, snapshot.
func agreedSample(routes int, effort Effort) (Sample, error) {
	s := newSample(routes)
	text := agreedText(routes)
	probe := cluster.NewState(nil)
	if data, err := agreedCommand(probe, 1, text); err != nil {
		return s, err
	} else if _, r := probe.Apply(1, 1, data); r.Refused != "" {
		s.Note = fmt.Sprintf("%d bytes of text refused: %s", len(text), r.Refused)
		return s, nil
	}
	heap, state, err := heapOf(func() (*cluster.State, error) {
		state, _, err := agreedState(text, nil)
		return state, err
	})
	if err != nil {
		return s, err
	}
	s.Values[Heap] = heap
	snapshot, err := state.Snapshot()
	if err != nil {
		return s, err
	}
	s.Values[Stored] = float64(len(snapshot))
	state.Check = install.CheckAgreed
	index := uint64(versionsKept)
	data, err := agreedCommand(state, index+1, text)
	if err != nil {
		return s, err
	}
	s.Values[Wire] = float64(len(data))
	return s, repeat(&s, effort, func() error {
		index++
		data, err := agreedCommand(state, index, text)
		if err != nil {
			return err
		}
		if _, r := state.Apply(index, 1, data); r.Refused != "" {
			return fmt.Errorf("refused: %s", r.Refused)
		}
		return nil
	})
}

// AgreedMost is the largest number of routes of this form that one agreed text can hold.
func AgreedMost() int {
	state := cluster.NewState(nil)
	least, most := 1, 2*OperatorsRoutes
	for least+1 < most {
		middle := (least + most) / 2
		if state.Valid(cluster.Command{Kind: cluster.Put, Client: "operator", Text: agreedText(middle)}) == nil {
			least = middle
		} else {
			most = middle
		}
	}
	return least
}

func agreedSlopes() []Slope {
	return []Slope{{Name: "agreed-text", Operation: "one changed route, as one text: wire is the log entry, stored a snapshot of 64 versions, heap the state; cpu and allocations are propose, check and apply",
		Size: "routes", Method: Hollow, Sizes: []int{34, 110, 340, 1000, 2500, OperatorsRoutes}, Run: agreedSample}}
}
