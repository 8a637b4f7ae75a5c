// Package program starts and ends the programs of installations without the platform: it reads the command line and runs
// until a signal tells the process to end. The main functions of harehook-xds (in package daemon) and harehook-sidecar call
// [Main].
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Main is the main function of a program that is started with a configuration and runs until SIGTERM or SIGINT. The path of
// the configuration is the flag --config or defaultConfig. A start that can't work, for which run returns an error, ends the
// process with one line and the code 1.
func Main(name, short, defaultConfig string, run func(ctx context.Context, configPath string) error) {
	var configPath string
	command := &cobra.Command{
		Use:           name,
		Short:         short,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(command *cobra.Command, _ []string) error { return run(command.Context(), configPath) },
	}
	command.Flags().StringVar(&configPath, "config", defaultConfig, "the configuration")
	if err := executeUntilSignal(command); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}

func executeUntilSignal(command *cobra.Command) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return command.ExecuteContext(ctx)
}
