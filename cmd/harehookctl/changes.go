package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"github.com/spf13/cobra"
)

// follow polls the controller and prints each change of the versions that sidecars have accepted or rejected, until it
// is interrupted or the given number of polls is reached.
func (o *options) follow() *cobra.Command {
	interval, polls := time.Second, 0
	c := &cobra.Command{Use: "follow", Short: "Print changes of the versions that sidecars accept or reject", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if interval <= 0 {
				return fmt.Errorf("--every must be greater than 0, got %s", interval)
			}
			last := map[string]string{}
			for n := 0; polls == 0 || n < polls; n++ {
				configs, err := o.fetch(c.Context(), true)
				if c.Context().Err() != nil {
					return nil
				}
				if err != nil {
					return err
				}
				if err := o.printChanges(c.OutOrStdout(), configs, last); err != nil {
					return err
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-time.After(interval):
				}
			}
			return nil
		}}
	c.Flags().DurationVar(&interval, "every", interval, "interval between polls")
	c.Flags().IntVar(&polls, "times", 0, "number of polls; 0 means until interrupted")
	return c
}

// printChanges prints one line for each value that differs from last, and updates last.
func (o *options) printChanges(out io.Writer, configs []*statusv3.ClientConfig, last map[string]string) error {
	printChange := func(key, value string, event any) error {
		if last[key] == value {
			return nil
		}
		last[key] = value
		if o.output == "json" {
			return json.NewEncoder(out).Encode(event)
		}
		_, err := fmt.Fprintf(out, "%s %s\n", key, value)
		return err
	}
	for _, config := range configs {
		sidecar := newSidecarOutput(config)
		stream := map[bool]string{true: "joined, table " + sidecar.Table, false: "gone"}[sidecar.Connected]
		if err := printChange(sidecar.ID, stream, map[string]any{"sidecar": sidecar.ID, "stream": stream}); err != nil {
			return err
		}
		for _, version := range sidecar.Versions {
			value := strings.TrimSpace(version.Status + " " + version.Accepted + " " + version.Rejected + " " + version.Reason)
			if err := printChange(sidecar.ID+" "+version.Kind+" "+version.Name, value, map[string]any{"sidecar": sidecar.ID, "version": version}); err != nil {
				return err
			}
		}
	}
	return nil
}
