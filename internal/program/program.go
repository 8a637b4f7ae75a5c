// Package program provides the main function of the programs for installations without the platform. It parses the
// command line and runs the program until a termination signal. The main functions of harehook-xds (in package daemon)
// and harehook-sidecar call [Main].
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Main calls run with the path of the configuration file and a context that is canceled on SIGTERM or SIGINT. The path
// is the value of the flag --config, by default defaultConfig. If run returns an error, Main prints it to standard
// error and exits with code 1.
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
	command.Flags().StringVar(&configPath, "config", defaultConfig, "path of the configuration file")
	if err := executeUntilSignal(command); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}

// executeUntilSignal executes command with a context that is canceled on SIGTERM or SIGINT.
func executeUntilSignal(command *cobra.Command) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return command.ExecuteContext(ctx)
}
