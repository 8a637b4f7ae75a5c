package capacity

import (
	"encoding/json"
	"errors"
	"fmt"

	"harehook.dev/harehook/brain"
	"harehook.dev/harehook/protocol"
)

// loadReport is a collector's message on one node, with its head.
func loadReport(node int) ([]byte, error) {
	body, err := json.Marshal(map[string]any{"@type": "LOAD", "site": fmt.Sprint("zone-", node%listZones), "target": nodeName(node),
		"count": 12, "fail": 1, "mean": 183.5, "over": 500, "util": map[string]float64{"inflight": 3, "util": 0.61}})
	return append(protocol.FrameHead(len(body)), body...), err
}

// reportSample meters half a second of reports, one on each node, from a collector's bytes to the module. Values are for
// each reported node.
func reportSample(nodes int) (Sample, error) {
	s := newSample(nodes)
	var bytes []byte
	for n := range nodes {
		report, err := loadReport(n)
		if err != nil {
			return s, err
		}
		bytes = append(bytes, report...)
	}
	f := newModuleFleet(nodes, usualProxies, 2, 2)
	numbers := make(map[string]uint32, nodes)
	for n := range nodes {
		numbers[nodeName(n)] = uint32(n + 1)
	}
	frames := protocol.Frames{Most: protocol.FrameMost}
	err := repeat(&s, func() error {
		f.now += 0.5
		taken := 0
		for rest := bytes; len(rest) > 0; rest = rest[min(len(rest), listPart):] {
			frames.Feed(rest[:min(len(rest), listPart)])
			n, err := takeReports(&frames, f, numbers)
			if taken += n; err != nil {
				return err
			}
		}
		if taken != nodes {
			return fmt.Errorf("%d of %d reports were read", taken, nodes)
		}
		return nil
	})
	for _, q := range []Quantity{CPU, Allocated, Allocations} {
		s.Values[q] /= float64(nodes)
	}
	s.Values[Wire] = float64(len(bytes)) / float64(nodes)
	return s, err
}

// takeReports hands all whole messages to the module, as the front and the core do.
func takeReports(frames *protocol.Frames, f *moduleFleet, numbers map[string]uint32) (taken int, err error) {
	for {
		body, err := frames.Next()
		if err != nil || body == nil {
			return taken, err
		}
		message, err := protocol.Decode(body)
		if err != nil {
			return taken, err
		}
		number, known := numbers[message.Target]
		if !known {
			return taken, errors.New("a report on an unknown node")
		}
		f.module.NodeSums(f.now, brain.Sums{Node: number, Ended: int(*message.Count), Lost: int(*message.Fail),
			Mean: *message.Mean / protocol.MSPerSecond, Span: *message.Over / protocol.MSPerSecond})
		taken++
	}
}

func reportSlopes() []Slope {
	return []Slope{{Name: "reports", Operation: "a collector's report on one node, read and told to the module", Size: "nodes reported each half second",
		Method: Hollow, Sizes: []int{130, 400, 1300, 4000, OperatorsNodes}, Run: reportSample}}
}
