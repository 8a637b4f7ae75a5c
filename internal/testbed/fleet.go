package testbed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"harehook.dev/harehook/loadtest"
)

const (
	controllerFlag = "controller"
	// formerControllerFlag is the name of controllerFlag in earlier releases. Scripts still use it.
	formerControllerFlag = "conductor"
	faultsFlag           = "faults"
)

// fleetCommand returns the command that runs the load test.
func fleetCommand() *cobra.Command {
	options := &fleetOptions{}
	command := &cobra.Command{
		Use:   "fleet [EXPERIMENT.kdl]",
		Short: "Run a load test of controllers that follow a group on this machine, and check its bounds",
		Args:  cobra.MaximumNArgs(1),
		RunE:  options.run,
	}
	flags := command.Flags()
	plan := loadtest.OperatorsPlan()
	for _, setting := range loadtest.Settings {
		flags.Float64(setting.Name, setting.Get(&plan), setting.Usage)
	}
	flags.StringVar(&options.faults, faultsFlag, "", fmt.Sprintf("faults to inject, separated by commas: %v", loadtest.AllFaults))
	flags.StringVar(&options.controllerPath, controllerFlag, "", "path of harehook-xds, which runs as the controller in its own process; "+
		"default is harehook-xds in the folder of this program; if there is none, that controller is only a client")
	flags.StringVar(&options.controllerPath, formerControllerFlag, "", "")
	if err := flags.MarkHidden(formerControllerFlag); err != nil {
		panic(err) // unreachable: the flag is defined above
	}
	flags.BoolVar(&options.json, "json", false, "print the plan and the measurements as one JSON object")
	flags.StringVar(&options.folder, "out", defaultFolder, "folder for the results of a sweep of a figure")
	return command
}

// fleetOptions holds the flags of the load test other than its settings.
type fleetOptions struct {
	faults         string
	controllerPath string // path of the program for the controller in its own process
	json           bool
	folder         string
}

// controllerProgram returns the path that the flag sets. By default it is the path of harehook-xds, under its present
// or former name, in the folder of this program, or empty if there is none.
func (o *fleetOptions) controllerProgram(self string) string {
	if o.controllerPath != "" {
		return o.controllerPath
	}
	for _, name := range []string{"harehook-xds", "harehookd"} {
		path := filepath.Join(filepath.Dir(self), name)
		if _, err := os.Stat(path); err == nil {
			return path
		}
	}
	return ""
}

// run runs the experiment to its end, or until a signal interrupts it.
func (o *fleetOptions) run(command *cobra.Command, arguments []string) error {
	ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	experiment, err := o.experiment(command.Flags(), arguments)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	options := loadtest.Options{
		WorkerProgram:     program,
		WorkerArguments:   []string{workerCommandName},
		ControllerProgram: o.controllerProgram(program),
		Progress:          command.ErrOrStderr(),
	}
	if len(experiment.Values) > 0 {
		return o.sweep(ctx, command.OutOrStdout(), experiment, options)
	}
	return o.runPlan(ctx, command.OutOrStdout(), experiment.Plan, options)
}

// experiment reads the experiment file, if an argument names one, and applies the flags to its plan.
func (o *fleetOptions) experiment(flags *pflag.FlagSet, arguments []string) (*loadtest.Experiment, error) {
	experiment := &loadtest.Experiment{Name: "fleet", Plan: loadtest.OperatorsPlan()}
	if len(arguments) > 0 {
		fromFile, err := readFleetExperiment(arguments[0])
		if err != nil {
			return nil, err
		}
		experiment = fromFile
	}
	if err := o.applyFlags(&experiment.Plan, flags); err != nil {
		return nil, err
	}
	return experiment, experiment.Plan.Validate()
}

// readFleetExperiment reads an experiment file.
func readFleetExperiment(path string) (*loadtest.Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	experiment, err := loadtest.ReadExperiment(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return experiment, nil
}

// applyFlags sets the fields of a plan whose flags are set.
func (o *fleetOptions) applyFlags(plan *loadtest.Plan, flags *pflag.FlagSet) error {
	for _, setting := range loadtest.Settings {
		if !flags.Changed(setting.Name) {
			continue
		}
		value, err := flags.GetFloat64(setting.Name)
		if err != nil {
			return err
		}
		setting.Set(plan, value)
	}
	if !flags.Changed(faultsFlag) {
		return nil
	}
	faults, err := loadtest.ParseFaults(o.faults)
	if err != nil {
		return err
	}
	plan.Faults = faults
	return nil
}

// runPlan runs a single plan and prints its report.
func (o *fleetOptions) runPlan(ctx context.Context, out io.Writer, plan loadtest.Plan, options loadtest.Options) error {
	report, err := loadtest.Play(ctx, plan, options)
	if err != nil {
		return err
	}
	if err := o.write(out, report); err != nil {
		return err
	}
	return violatedBoundsError(report.Broken)
}

// results is the report of a run or of a sweep.
type results interface {
	WriteJSON(out io.Writer) error
	WriteTable(out io.Writer) error
}

// write prints results as JSON or as a table.
func (o *fleetOptions) write(out io.Writer, r results) error {
	if o.json {
		return r.WriteJSON(out)
	}
	return r.WriteTable(out)
}

// sweep runs a plan for each value of the swept figure, saves the results and prints them.
func (o *fleetOptions) sweep(ctx context.Context, out io.Writer, experiment *loadtest.Experiment, options loadtest.Options) error {
	sweep, err := experiment.Sweep(ctx, options)
	if err != nil {
		return err
	}
	if err := sweep.Save(o.folder); err != nil {
		return err
	}
	if err := o.write(out, sweep); err != nil {
		return err
	}
	return violatedBoundsError(sweep.BrokenBounds())
}

// errBoundsViolated is returned when a run violates bounds. The wrapping error has a line for each violated bound.
var errBoundsViolated = errors.New("bounds violated")

// violatedBoundsError returns an error with the lines of the violated bounds, or nil if there are none.
func violatedBoundsError(lines []string) error {
	if len(lines) == 0 {
		return nil
	}
	return fmt.Errorf("%w:\n%s", errBoundsViolated, strings.Join(lines, "\n"))
}
