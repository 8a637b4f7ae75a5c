package main

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/xds"
)

// tableOutput is an endpoint or a route of a routing table as it is printed.
type tableOutput struct {
	Table    string  `json:"table"`
	Zone     string  `json:"zone,omitempty"`
	Node     string  `json:"node,omitempty"`
	Fraction float64 `json:"part,omitempty"`
	Route    string  `json:"route,omitempty"`
	Admitted float64 `json:"let_in,omitempty"`
	Retries  string  `json:"further_tries,omitempty"`
	Sidecars int     `json:"sidecars"`
}

// tables prints the routing tables of connected sidecars.
func (o *options) tables() *cobra.Command {
	return &cobra.Command{Use: "tables", Short: "Show the desired routing tables of connected sidecars", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			configs, err := o.fetch(c.Context(), false)
			if err != nil {
				return err
			}
			rows, err := tableOutputs(configs)
			if err != nil {
				return err
			}
			if o.output == "json" {
				return writeJSON(c.OutOrStdout(), rows)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "TABLE\tSIDECARS\tZONE\tNODE\tFRACTION\tROUTE\tADMITTED\tRETRIES")
			for _, r := range rows {
				if r.Route != "" {
					fmt.Fprintf(w, "%s\t%d\t\t\t\t%s\t%.1f%%\t%s\n", r.Table, r.Sidecars, r.Route, 100*r.Admitted, r.Retries)
				} else {
					fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%.1f%%\t\t\t\n", r.Table, r.Sidecars, r.Zone, r.Node, 100*r.Fraction)
				}
			}
			return w.Flush()
		}}
}

// tableOutputs decodes each table from the desired resources of one sidecar that uses it. Rows are ordered by table.
func tableOutputs(configs []*statusv3.ClientConfig) (rows []tableOutput, err error) {
	sidecars := sidecarsByTable(configs)
	seen := map[string]bool{}
	for _, config := range configs {
		table := newSidecarOutput(config).Table
		if seen[table] || sidecars[table] == 0 || table == "" {
			continue
		}
		seen[table] = true
		outputs, err := decodeTable(config, table, sidecars[table])
		if err != nil {
			return nil, err
		}
		rows = append(rows, outputs...)
	}
	slices.SortStableFunc(rows, func(a, b tableOutput) int { return strings.Compare(a.Table, b.Table) })
	return rows, nil
}

// sidecarsByTable counts the connected sidecars of each table.
func sidecarsByTable(configs []*statusv3.ClientConfig) map[string]int {
	counts := map[string]int{}
	for _, config := range configs {
		if output := newSidecarOutput(config); output.Connected {
			counts[output.Table]++
		}
	}
	return counts
}

// decodeTable decodes the table of a sidecar. sidecars is the number of connected sidecars with the same table.
func decodeTable(config *statusv3.ClientConfig, table string, sidecars int) (rows []tableOutput, err error) {
	for _, resource := range config.GetGenericXdsConfigs() {
		if resource.GetXdsConfig() == nil {
			continue
		}
		body := resource.GetXdsConfig().GetValue()
		kind, _ := xds.ParseTypeURL(resource.GetTypeUrl())
		switch kind {
		case xds.Endpoints:
			var assignment endpointv3.ClusterLoadAssignment
			if err := proto.Unmarshal(body, &assignment); err != nil {
				return nil, err
			}
			rows = append(rows, endpointOutputs(&assignment, table, sidecars)...)
		case xds.Routes:
			var routes routev3.RouteConfiguration
			if err := proto.Unmarshal(body, &routes); err != nil {
				return nil, err
			}
			rows = append(rows, routeOutputs(&routes, table, sidecars)...)
		}
	}
	return rows, nil
}

// endpointOutputs lists the endpoints of a table with the fraction of the requests that is routed to each.
func endpointOutputs(assignment *endpointv3.ClusterLoadAssignment, table string, sidecars int) (rows []tableOutput) {
	total := 0.0
	for _, locality := range assignment.GetEndpoints() {
		total += float64(locality.GetLoadBalancingWeight().GetValue())
	}
	for _, locality := range assignment.GetEndpoints() {
		for _, endpoint := range locality.GetLbEndpoints() {
			rows = append(rows, tableOutput{
				Table:    table,
				Zone:     locality.GetLocality().GetZone(),
				Node:     endpoint.GetEndpoint().GetHostname(),
				Fraction: float64(endpoint.GetLoadBalancingWeight().GetValue()) / max(total, 1),
				Sidecars: sidecars,
			})
		}
	}
	return rows
}

// routeOutputs lists the routes of a table with the admitted fraction of the requests and the retry conditions.
func routeOutputs(config *routev3.RouteConfiguration, table string, sidecars int) (rows []tableOutput) {
	for _, host := range config.GetVirtualHosts() {
		for _, r := range host.GetRoutes() {
			if r.GetRoute() == nil {
				if slices.ContainsFunc(rows, func(row tableOutput) bool { return row.Route == r.GetName() }) {
					continue // entry for the rejected fraction of a route that is already listed
				}
				rows = append(rows, tableOutput{Table: table, Route: r.GetName(), Retries: "none", Sidecars: sidecars})
				continue
			}
			row := tableOutput{Table: table, Route: r.GetName(), Admitted: 1, Retries: "none", Sidecars: sidecars}
			if f := r.GetMatch().GetRuntimeFraction().GetDefaultValue(); f != nil {
				row.Admitted = float64(f.GetNumerator()) / 1e6
			}
			if on := r.GetRoute().GetRetryPolicy().GetRetryOn(); on != "" {
				row.Retries = on
			}
			rows = append(rows, row)
		}
	}
	return rows
}
