package loadtest

import (
	"fmt"
	"slices"

	"harehook.dev/harehook/internal/kdl"
)

// Experiment is a plan and, optionally, a figure of the plan that takes several values in turn.
type Experiment struct {
	Name   string
	Plan   Plan
	Figure string    // name of the swept Setting, empty if there is none
	Values []float64 // of the figure, in the order of the runs
}

// maxValue is the largest value that an experiment may give a figure.
const maxValue = 1e9

// ReadExperiment reads an experiment in KDL: one node "experiment" with a name, whose children are settings and faults.
// Settings that it omits have the values of OperatorsPlan. The error is a kdl.Faults, which names the line of each
// mistake.
func ReadExperiment(text string) (*Experiment, error) {
	nodes, err := kdl.Parse(text)
	if err != nil {
		return nil, err
	}
	var mistakes kdl.Faults
	if len(nodes) != 1 || nodes[0].Name != "experiment" || len(nodes[0].Arguments) != 1 {
		mistakes.Add(1, "the document must be one \"experiment\" node with a name")
		return nil, mistakes.Err()
	}
	e := &Experiment{Name: fmt.Sprint(nodes[0].Arguments[0].Data), Plan: OperatorsPlan()}
	for _, node := range nodes[0].Children {
		if node.Name == "faults" {
			e.readFaults(node, &mistakes)
			continue
		}
		e.readFigure(node, &mistakes)
	}
	if err := mistakes.Err(); err != nil {
		return nil, err
	}
	for _, plan := range e.plans() {
		if err := plan.Validate(); err != nil {
			mistakes.Add(nodes[0].Line, "%v", err)
			break
		}
	}
	return e, mistakes.Err()
}

// readFaults reads the node that lists the faults.
func (e *Experiment) readFaults(node *kdl.Node, mistakes *kdl.Faults) {
	for _, argument := range node.Arguments {
		name := Fault(fmt.Sprint(argument.Data))
		if !slices.Contains(AllFaults, name) {
			mistakes.Add(argument.Line, "unknown fault %q, known faults are %v", name, AllFaults)
			continue
		}
		e.Plan.Faults = append(e.Plan.Faults, name)
	}
}

// readFigure reads the node of a figure; a figure with several values is swept.
func (e *Experiment) readFigure(node *kdl.Node, mistakes *kdl.Faults) {
	setting, known := findSetting(node.Name)
	if !known {
		mistakes.Add(node.Line, "unknown setting %q", node.Name)
		return
	}
	values := readValues(node, mistakes)
	switch {
	case len(values) == 0:
		mistakes.Add(node.Line, "%q has no value", node.Name)
	case len(values) == 1:
		setting.Set(&e.Plan, values[0])
	case e.Figure != "":
		mistakes.Add(node.Line, "at most one figure may have several values, and %q already has several", e.Figure)
	default:
		e.Figure = node.Name
		e.Values = values
	}
}

// readValues reads the numeric arguments of a node.
func readValues(node *kdl.Node, mistakes *kdl.Faults) (values []float64) {
	for _, argument := range node.Arguments {
		value, isNumber := argument.Data.(float64)
		inRange := value >= 0 && value <= maxValue // false for NaN
		if !isNumber || !inRange {
			mistakes.Add(argument.Line, "%q must be a number from 0 to %.0f, got %v", node.Name, maxValue, argument.Data)
			continue
		}
		values = append(values, value)
	}
	return values
}

// plans returns one plan for each value of the swept figure, or the only plan if no figure is swept.
func (e *Experiment) plans() (plans []Plan) {
	if e.Figure == "" {
		return []Plan{e.Plan}
	}
	setting, _ := findSetting(e.Figure)
	for _, value := range e.Values {
		plan := e.Plan
		setting.Set(&plan, value)
		plans = append(plans, plan)
	}
	return plans
}
