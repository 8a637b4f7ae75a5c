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
	// formerControllerFlag is its name in earlier releases; scripts go on to use it.
	formerControllerFlag = "conductor"
	faultsFlag           = "faults"
)

// fleetCommand runs the load test.
func fleetCommand() *cobra.Command {
	options := &fleetOptions{}
	command := &cobra.Command{
		Use:   "fleet [EXPERIMENT.kdl]",
		Short: "Run a fleet of controllers that follow a group on this machine, and hold it to its bounds",
		Args:  cobra.MaximumNArgs(1),
		RunE:  options.run,
	}
	flags := command.Flags()
	plan := loadtest.OperatorsPlan()
	for _, setting := range loadtest.Settings {
		flags.Float64(setting.Name, setting.Get(&plan), setting.Usage)
	}
	flags.StringVar(&options.faults, faultsFlag, "", fmt.Sprintf("faults to play, separated by commas: %v", loadtest.AllFaults))
	flags.StringVar(&options.controllerPath, controllerFlag, "", "path of harehook-xds, for the controller with a process of its own; "+
		"by default the one in this program's folder, and a client alone where there is none")
	flags.StringVar(&options.controllerPath, formerControllerFlag, "", "")
	if err := flags.MarkHidden(formerControllerFlag); err != nil {
		panic(err) // it was defined just before
	}
	flags.BoolVar(&options.json, "json", false, "print one object with what was asked and measured")
	flags.StringVar(&options.folder, "out", defaultFolder, "folder for the results of a sweep")
	return command
}

// fleetOptions are the flags of the load test beside its settings.
type fleetOptions struct {
	faults         string
	controllerPath string // of the program for the controller with a process of its own
	json           bool
	folder         string
}

// controllerProgram is the path that is asked for, or else that of harehook-xds beside this program, by its present or
// former name. It is empty where there is none.
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

// run plays the experiment until it is over, or interrupted.
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
	return o.play(ctx, command.OutOrStdout(), experiment.Plan, options)
}

// experiment reads the file, if one is named, and then the flags that are given.
func (o *fleetOptions) experiment(flags *pflag.FlagSet, arguments []string) (*loadtest.Experiment, error) {
	experiment := &loadtest.Experiment{Name: "fleet", Plan: loadtest.OperatorsPlan()}
	if len(arguments) > 0 {
		read, err := readFleetExperiment(arguments[0])
		if err != nil {
			return nil, err
		}
		experiment = read
	}
	if err := o.applyFlags(&experiment.Plan, flags); err != nil {
		return nil, err
	}
	return experiment, experiment.Plan.Validate()
}

// readFleetExperiment reads the file of an experiment.
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

// applyFlags sets in a plan what flags are given for.
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

// play runs one plan and prints its report.
func (o *fleetOptions) play(ctx context.Context, out io.Writer, plan loadtest.Plan, options loadtest.Options) error {
	report, err := loadtest.Play(ctx, plan, options)
	if err != nil {
		return err
	}
	if err := o.write(out, report); err != nil {
		return err
	}
	return brokenBoundsError(report.Broken)
}

// results are the report of a run or of a sweep.
type results interface {
	WriteJSON(out io.Writer) error
	WriteTable(out io.Writer) error
}

// write prints results in the form that is asked for.
func (o *fleetOptions) write(out io.Writer, r results) error {
	if o.json {
		return r.WriteJSON(out)
	}
	return r.WriteTable(out)
}

// sweep runs a plan for each value of a figure, saves the results and prints them.
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
	return brokenBoundsError(sweep.BrokenBounds())
}

// errBoundsBroke is what the load test ends with where bounds broke; the error has a line for each.
var errBoundsBroke = errors.New("bounds broke")

// brokenBoundsError is nil where no bound broke.
func brokenBoundsError(lines []string) error {
	if len(lines) == 0 {
		return nil
	}
	return fmt.Errorf("%w:\n%s", errBoundsBroke, strings.Join(lines, "\n"))
}
