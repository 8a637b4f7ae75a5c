package simulation

import (
	"fmt"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/internal/kdl"
)

const (
	defaultSeeds   = 10
	maxMembers     = 9
	maxFigureValue = 1e6
)

// defaultSetup returns the setup for the figures that an experiment's file does not set.
func defaultSetup() Setup {
	return Setup{
		Members:        3,
		Ticks:          3000,
		FaultFreeTicks: 600,
		Timing:         cluster.Timing{ElectionTicks: 20, HeartbeatTicks: 4, CompactAfterEntries: 100},
		MaxDelay:       4,
		ProposeEvery:   30,
		Sidecars:       6,
	}
}

// figures maps the KDL keys of the figures that an experiment can set or sweep to their setters.
var figures = map[string]func(setup *Setup, value float64){
	"members":       func(s *Setup, v float64) { s.Members = int(v) },
	"ticks":         func(s *Setup, v float64) { s.Ticks = int(v) },
	"calm":          func(s *Setup, v float64) { s.FaultFreeTicks = int(v) },
	"election":      setElectionTicks,
	"compact":       func(s *Setup, v float64) { s.Timing.CompactAfterEntries = uint64(v) },
	"delay":         func(s *Setup, v float64) { s.MaxDelay = int(v) },
	"loss":          func(s *Setup, v float64) { s.Loss = v },
	"double":        func(s *Setup, v float64) { s.Duplication = v },
	"sync":          func(s *Setup, v float64) { s.MaxSyncDelay = int(v) },
	"fault-every":   func(s *Setup, v float64) { s.FaultEvery = int(v) },
	"propose-every": func(s *Setup, v float64) { s.ProposeEvery = int(v) },
	"sidecars":      func(s *Setup, v float64) { s.Sidecars = int(v) },
}

// setElectionTicks sets the election timeout, and the heartbeat interval to a fifth of it.
func setElectionTicks(setup *Setup, ticks float64) {
	setup.Timing.ElectionTicks = int(ticks)
	setup.Timing.HeartbeatTicks = max(1, int(ticks)/5)
}

// setFigure sets a figure by its key. An empty key has no effect.
func setFigure(setup *Setup, figure string, value float64) {
	if figure != "" {
		figures[figure](setup, value)
	}
}

// ReadExperiment reads an experiment from KDL: one node "experiment" with a name, whose children set the number of
// seeds and the figures of a setup. A figure with several values is swept. The error is a kdl.Faults, which lists each
// mistake with its line.
func ReadExperiment(text string) (*Experiment, error) {
	nodes, err := kdl.Parse(text)
	if err != nil {
		return nil, err
	}
	reader := experimentReader{experiment: &Experiment{Seeds: defaultSeeds, Base: defaultSetup()}}
	if len(nodes) != 1 || nodes[0].Name != "experiment" || len(nodes[0].Arguments) != 1 {
		reader.mistakes.Add(1, "the document must be a single node \"experiment\" with a name")
		return nil, reader.mistakes.Err()
	}
	reader.experiment.Name = fmt.Sprint(nodes[0].Arguments[0].Data)
	for _, child := range nodes[0].Children {
		reader.readFigure(child)
	}
	reader.validate(nodes[0].Line)
	return reader.experiment, reader.mistakes.Err()
}

// experimentReader fills an experiment and collects the mistakes of its file.
type experimentReader struct {
	experiment *Experiment
	mistakes   kdl.Faults
}

// readFigure reads the node of one figure, or of the number of seeds.
func (r *experimentReader) readFigure(node *kdl.Node) {
	values := r.readValues(node)
	set, known := figures[node.Name]
	switch {
	case len(values) == 0:
		r.mistakes.Add(node.Line, "%q has no value", node.Name)
	case node.Name == "seeds":
		r.experiment.Seeds = int(values[0])
	case !known:
		r.mistakes.Add(node.Line, "unknown figure %q", node.Name)
	case len(values) == 1:
		set(&r.experiment.Base, values[0])
	default:
		r.experiment.Sweeps = append(r.experiment.Sweeps, Sweep{Figure: node.Name, Values: values})
	}
}

// readValues returns the values of a node and reports those that are not numbers in the allowed range.
func (r *experimentReader) readValues(node *kdl.Node) (values []float64) {
	for _, argument := range node.Arguments {
		value, isNumber := argument.Data.(float64)
		if !isNumber || value < 0 || value > maxFigureValue {
			r.mistakes.Add(argument.Line, "%q must be a number from 0 to %d, got %v",
				node.Name, int(maxFigureValue), argument.Data)
		}
		values = append(values, value)
	}
	return values
}

// validate checks the constraints on the experiment as a whole. It reports mistakes at the line of the experiment's
// node.
func (r *experimentReader) validate(line int) {
	base := r.experiment.Base
	if len(r.experiment.Sweeps) > maxSweeps {
		r.mistakes.Add(line, "at most %d figures can be swept, got %d", maxSweeps, len(r.experiment.Sweeps))
	}
	if base.Members < 1 || base.Members > maxMembers || base.FaultFreeTicks >= base.Ticks || r.experiment.Seeds < 1 {
		r.mistakes.Add(line,
			"members must be 1 to %d, calm less than ticks, seeds at least 1; got members %d, calm %d, ticks %d, seeds %d",
			maxMembers, base.Members, base.FaultFreeTicks, base.Ticks, r.experiment.Seeds)
	}
}
