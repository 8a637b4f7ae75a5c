package config

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Main is the main function of a program that is started with a configuration and runs until SIGTERM or SIGINT. A start
// that can't work ends with one line and the code 1.
func Main(name, short, defaultConfig string, run func(ctx context.Context, config string) error) {
	var config string
	root := &cobra.Command{Use: name, Short: short, SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return run(c.Context(), config) }}
	root.Flags().StringVar(&config, "config", defaultConfig, "the configuration")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}
