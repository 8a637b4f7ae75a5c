package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/config"
)

// check validates configuration files with the parsers of the controller and the sidecar, and prints the errors.
func (o *options) check() *cobra.Command {
	return &cobra.Command{Use: "check FILE ...", Short: "Validate configuration files of controllers and sidecars",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, files []string) error {
			if err := o.validate(); err != nil {
				return err
			}
			type result struct {
				File  string `json:"file"`
				Kind  string `json:"kind,omitempty"`
				Fault string `json:"fault,omitempty"`
			}
			var results []result
			invalid := 0
			for _, file := range files {
				kind, err := checkFile(file)
				entry := result{File: file, Kind: kind}
				if err != nil {
					entry.Fault = err.Error()
					invalid++
				}
				results = append(results, entry)
			}
			if o.output == "json" {
				if err := writeJSON(c.OutOrStdout(), results); err != nil {
					return err
				}
			} else {
				for _, r := range results {
					if r.Fault != "" {
						fmt.Fprintln(c.OutOrStdout(), r.Fault)
					} else {
						fmt.Fprintf(c.OutOrStdout(), "%s: valid %s\n", r.File, r.Kind)
					}
				}
			}
			if invalid > 0 {
				return fault(fmt.Errorf("%d of %d files are invalid", invalid, len(files)))
			}
			return nil
		}}
}

// checkFile validates a file as the kind that its top nodes determine.
func checkFile(file string) (kind string, err error) {
	if kind, err = config.FileKind(file); err != nil {
		return "", err
	}
	switch kind {
	case "sidecar":
		_, err := config.ReadSidecar(file)
		return kind, err
	case "node":
		return "list of nodes, checked with its conductor", nil
	case "conductor":
	default:
		return "", fmt.Errorf("%s: file must be the configuration of a controller (top node \"conductor\"), that of a sidecar, or a list of nodes", file)
	}
	settings, err := config.ReadController(file)
	if err != nil {
		return "", err
	}
	if settings.NodeService != "" {
		return kind, nil // an xDS service lists the nodes at run time
	}
	nodes, err := settings.ReadNodes()
	if err != nil {
		return "", err
	}
	for _, zone := range settings.Deployment.Zones {
		if !slices.ContainsFunc(nodes, func(n config.Node) bool { return n.Zone == zone }) {
			return "", fmt.Errorf("%s: zone %q has no node in %s: its home-only routes would have no endpoints", file, zone, settings.NodesFile)
		}
	}
	return kind, nil
}
