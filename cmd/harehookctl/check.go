package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/config"
)

// check reads configuration files as the programs do and prints their faults.
func (o *options) check() *cobra.Command {
	return &cobra.Command{Use: "check FILE ...", Short: "Check configurations of controllers and sidecars before use",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, files []string) error {
			if err := o.valid(); err != nil {
				return err
			}
			type result struct {
				File  string `json:"file"`
				Kind  string `json:"kind,omitempty"`
				Fault string `json:"fault,omitempty"`
			}
			var results []result
			bad := 0
			for _, file := range files {
				kind, err := checkFile(file)
				one := result{File: file, Kind: kind}
				if err != nil {
					one.Fault = err.Error()
					bad++
				}
				results = append(results, one)
			}
			if o.output == "json" {
				if err := write(c.OutOrStdout(), results); err != nil {
					return err
				}
			} else {
				for _, r := range results {
					if r.Fault != "" {
						fmt.Fprintln(c.OutOrStdout(), r.Fault)
					} else {
						fmt.Fprintf(c.OutOrStdout(), "%s: a %s, in order\n", r.File, r.Kind)
					}
				}
			}
			if bad > 0 {
				return fault(fmt.Errorf("%d of %d files can't be used", bad, len(files)))
			}
			return nil
		}}
}

// checkFile reads a file as what it says it is.
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
		return "", fmt.Errorf("%s: neither a conductor nor a sidecar", file)
	}
	settings, err := config.ReadController(file)
	if err != nil {
		return "", err
	}
	if settings.NodeService != "" {
		return kind, nil // its nodes are told when it runs
	}
	nodes, err := settings.ReadNodes()
	if err != nil {
		return "", err
	}
	for _, zone := range settings.Deployment.Zones {
		if !slices.ContainsFunc(nodes, func(n config.Node) bool { return n.Zone == zone }) {
			return "", fmt.Errorf("%s: zone %q has no node in %s: its home-only routes would be left empty", file, zone, settings.NodesFile)
		}
	}
	return kind, nil
}
