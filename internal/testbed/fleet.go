package testbed

import (
	"context"
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

// workerCommand is the hidden command whose processes are the members and controllers of a fleet.
const workerCommand = "fleet-worker"

// fleetCommand plays a fleet of controllers that follow a group.
func fleetCommand() *cobra.Command {
	options := &fleetOptions{}
	command := &cobra.Command{
		Use:   "fleet [EXPERIMENT.kdl]",
		Short: "Play a fleet of controllers that follow a group on this machine, and hold it to its bounds",
		Args:  cobra.MaximumNArgs(1),
		RunE:  options.run,
	}
	plan := loadtest.OperatorsPlan()
	for _, setting := range loadtest.Settings {
		command.Flags().Float64(setting.Name, setting.Get(&plan), setting.Usage)
	}
	command.Flags().StringVar(&options.faults, "faults", "", fmt.Sprintf("faults to play, separated by commas: %v", loadtest.AllFaults))
	command.Flags().StringVar(&options.controllerPath, "controller", "", "the program harehook-xds, for the controller with a process of its own; by default the one in this program's folder, and a client alone where there is none")
	command.Flags().StringVar(&options.controllerPath, formerControllerFlag, "", "")
	if err := command.Flags().MarkHidden(formerControllerFlag); err != nil {
		panic(err) // it was defined just before
	}
	command.Flags().BoolVar(&options.json, "json", false, "print one object with what was asked and measured")
	command.Flags().StringVar(&options.folder, "out", "found/lab", "folder for the results of a sweep")
	return command
}

// formerControllerFlag is what the flag "controller" was called in earlier releases; scripts go on to use it.
const formerControllerFlag = "conductor"

// fleetOptions are the flags of the load test.
type fleetOptions struct {
	faults         string
	controllerPath string // of the program for the controller with a process of its own
	json           bool
	folder         string
}

// controllerProgram is the program that is asked for, or else harehook-xds beside this program, if it is there.
func (o *fleetOptions) controllerProgram(self string) string {
	if o.controllerPath != "" {
		return o.controllerPath
	}
	for _, name := range []string{"harehook-xds", "harehookd"} {
		beside := filepath.Join(filepath.Dir(self), name)
		if _, err := os.Stat(beside); err == nil {
			return beside
		}
	}
	return ""
}

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
	options := loadtest.Options{WorkerProgram: program, WorkerArguments: []string{workerCommand}, ControllerProgram: o.controllerProgram(program), Progress: command.ErrOrStderr()}
	if len(experiment.Values) > 0 {
		return o.sweep(ctx, command.OutOrStdout(), experiment, options)
	}
	report, err := loadtest.Play(ctx, experiment.Plan, options)
	if err != nil {
		return err
	}
	if err := o.write(command.OutOrStdout(), report); err != nil {
		return err
	}
	return brokenBounds(report.Broken)
}

// experiment reads the file, if one is named, and then the flags that are given.
func (o *fleetOptions) experiment(flags *pflag.FlagSet, arguments []string) (*loadtest.Experiment, error) {
	experiment := &loadtest.Experiment{Name: "fleet", Plan: loadtest.OperatorsPlan()}
	if len(arguments) > 0 {
		text, err := os.ReadFile(arguments[0])
		if err != nil {
			return nil, err
		}
		if experiment, err = loadtest.ReadExperiment(string(text)); err != nil {
			return nil, fmt.Errorf("%s: %w", arguments[0], err)
		}
	}
	for _, setting := range loadtest.Settings {
		if !flags.Changed(setting.Name) {
			continue
		}
		value, err := flags.GetFloat64(setting.Name)
		if err != nil {
			return nil, err
		}
		setting.Set(&experiment.Plan, value)
	}
	if flags.Changed("faults") {
		faults, err := loadtest.ParseFaults(o.faults)
		if err != nil {
			return nil, err
		}
		experiment.Plan.Faults = faults
	}
	return experiment, experiment.Plan.Validate()
}

func (o *fleetOptions) write(out io.Writer, report *loadtest.Report) error {
	if o.json {
		return report.WriteJSON(out)
	}
	return report.WriteTable(out)
}

func (o *fleetOptions) sweep(ctx context.Context, out io.Writer, experiment *loadtest.Experiment, options loadtest.Options) error {
	result, err := experiment.Sweep(ctx, options)
	if err != nil {
		return err
	}
	if err := result.Save(o.folder); err != nil {
		return err
	}
	if o.json {
		err = result.WriteJSON(out)
	} else {
		err = result.WriteTable(out)
	}
	if err != nil {
		return err
	}
	return brokenBounds(result.BrokenBounds())
}

// brokenBounds makes an error that names each bound that broke on a line of its own.
func brokenBounds(lines []string) error {
	if len(lines) == 0 {
		return nil
	}
	return fmt.Errorf("bounds broke:\n%s", strings.Join(lines, "\n"))
}

// fleetWorker is started by fleetCommand.
func fleetWorker() *cobra.Command {
	return &cobra.Command{Use: workerCommand + " ROLE", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			// An interrupt from the terminal reaches the process that started this one, which then ends the orders.
			signal.Ignore(os.Interrupt)
			return loadtest.Work(command.Context(), arguments[0], os.Stdin, os.Stdout)
		}}
}
