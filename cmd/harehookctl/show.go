package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/xds"
	front "harehook.dev/harehook/xds/transport"
)

func (o *options) check() *cobra.Command {
	return &cobra.Command{Use: "check FILE ...", Short: "Check configurations of conductors and sidecars before use",
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
	told, err := config.ReadController(file)
	if err != nil {
		return "", err
	}
	if told.NodeService != "" {
		return kind, nil // its nodes are told when it runs
	}
	nodes, err := told.ReadNodes()
	if err != nil {
		return "", err
	}
	for _, zone := range told.Deployment.Zones {
		if !slices.ContainsFunc(nodes, func(n config.Node) bool { return n.Zone == zone }) {
			return "", fmt.Errorf("%s: zone %q has no node in %s: its home-only routes would be left empty", file, zone, told.NodesFile)
		}
	}
	return kind, nil
}

func write(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// fetch asks a conductor for its sidecars.
func (o *options) fetch(ctx context.Context, bare bool) ([]*statusv3.ClientConfig, error) {
	conn, err := o.dial()
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	ctx, stop := context.WithTimeout(ctx, askWithin)
	defer stop()
	got, err := statusv3.NewClientStatusDiscoveryServiceClient(conn).FetchClientStatus(ctx, &statusv3.ClientStatusRequest{ExcludeResourceContents: bare})
	if err != nil {
		return nil, away(fmt.Errorf("conductor %s: %w", o.conductor, err))
	}
	return got.GetConfig(), nil
}

// sidecarRow is a sidecar as it is shown.
type sidecarRow struct {
	ID          string    `json:"id"`
	Zone        string    `json:"zone"`
	Table       string    `json:"table"`
	Joined      bool      `json:"joined"`
	AwayS       float64   `json:"away_s,omitempty"`
	Unconfirmed int       `json:"unconfirmed"`
	Versions    []version `json:"versions"`
}

type version struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Held    string `json:"held"`
	Status  string `json:"status"`
	Refused string `json:"refused,omitempty"`
	Why     string `json:"why,omitempty"`
}

func row(c *statusv3.ClientConfig) sidecarRow {
	about := c.GetNode().GetMetadata().GetFields()
	r := sidecarRow{ID: c.GetNode().GetId(), Zone: c.GetNode().GetLocality().GetZone(), Table: about[front.StatusTable].GetStringValue(),
		Joined: about[front.StatusJoined].GetBoolValue(), AwayS: about[front.StatusDisconnectedSeconds].GetNumberValue(),
		Unconfirmed: int(about[front.StatusUnconfirmed].GetNumberValue())}
	for _, g := range c.GetGenericXdsConfigs() {
		kind, _ := xds.ParseTypeURL(g.GetTypeUrl())
		r.Versions = append(r.Versions, version{kind.String(), g.GetName(), g.GetVersionInfo(), strings.ToLower(g.GetConfigStatus().String()),
			g.GetErrorState().GetVersionInfo(), g.GetErrorState().GetDetails()})
	}
	return r
}

func (r sidecarRow) refuses() bool {
	return slices.ContainsFunc(r.Versions, func(v version) bool { return v.Refused != "" })
}

func (o *options) sidecars() *cobra.Command {
	refusing := false
	c := &cobra.Command{Use: "sidecars", Short: "Show which versions each sidecar holds and refuses", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			configs, err := o.fetch(c.Context(), true)
			if err != nil {
				return err
			}
			var rows []sidecarRow
			refused := 0
			for _, config := range configs {
				r := row(config)
				if r.refuses() {
					refused++
				} else if refusing {
					continue
				}
				rows = append(rows, r)
			}
			if o.output == "json" {
				err = write(c.OutOrStdout(), rows)
			} else {
				err = showSidecars(c.OutOrStdout(), rows)
			}
			if err == nil && refused > 0 {
				return fault(fmt.Errorf("%d of %d sidecars refuse a version", refused, len(configs)))
			}
			return err
		}}
	c.Flags().BoolVar(&refusing, "refusing", false, "only those that refuse a version")
	return c
}

func showSidecars(out io.Writer, rows []sidecarRow) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SIDECAR\tZONE\tTABLE\tSTREAM\tKIND\tNAME\tHELD\tSTATUS\tREFUSED")
	for _, r := range rows {
		stream := "stands"
		if !r.Joined {
			stream = fmt.Sprintf("gone %.0f s", r.AwayS)
		}
		if len(r.Versions) == 0 {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\t-\t-\t-\t\n", r.ID, r.Zone, r.Table, stream)
		}
		for _, v := range r.Versions {
			refused := ""
			if v.Refused != "" {
				refused = v.Refused + ": " + v.Why
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.Zone, r.Table, stream, v.Kind, v.Name, v.Held, v.Status, refused)
		}
	}
	return w.Flush()
}

// tableRow is a line of a table, or a route of it.
type tableRow struct {
	Table  string  `json:"table"`
	Zone   string  `json:"zone,omitempty"`
	Node   string  `json:"node,omitempty"`
	Part   float64 `json:"part,omitempty"`
	Route  string  `json:"route,omitempty"`
	LetIn  float64 `json:"let_in,omitempty"`
	Tries  string  `json:"further_tries,omitempty"`
	Number int     `json:"sidecars"`
}

func (o *options) tables() *cobra.Command {
	return &cobra.Command{Use: "tables", Short: "Show the tables that joined sidecars are to hold", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			configs, err := o.fetch(c.Context(), false)
			if err != nil {
				return err
			}
			rows, err := tableRows(configs)
			if err != nil {
				return err
			}
			if o.output == "json" {
				return write(c.OutOrStdout(), rows)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "TABLE\tSIDECARS\tZONE\tNODE\tPART\tROUTE\tLET IN\tFURTHER TRIES")
			for _, r := range rows {
				if r.Route != "" {
					fmt.Fprintf(w, "%s\t%d\t\t\t\t%s\t%.1f%%\t%s\n", r.Table, r.Number, r.Route, 100*r.LetIn, r.Tries)
				} else {
					fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%.1f%%\t\t\t\n", r.Table, r.Number, r.Zone, r.Node, 100*r.Part)
				}
			}
			return w.Flush()
		}}
}

// tableRows reads the tables out of what one sidecar of each is to hold.
func tableRows(configs []*statusv3.ClientConfig) (rows []tableRow, err error) {
	number, seen := map[string]int{}, map[string]bool{}
	for _, c := range configs {
		if r := row(c); r.Joined {
			number[r.Table]++
		}
	}
	for _, c := range configs {
		table := row(c).Table
		if seen[table] || number[table] == 0 || table == "" {
			continue
		}
		seen[table] = true
		for _, g := range c.GetGenericXdsConfigs() {
			switch kind, _ := xds.ParseTypeURL(g.GetTypeUrl()); {
			case g.GetXdsConfig() == nil:
			case kind == xds.Endpoints:
				var m endpointv3.ClusterLoadAssignment
				if err := proto.Unmarshal(g.GetXdsConfig().GetValue(), &m); err != nil {
					return nil, err
				}
				whole := 0.0
				for _, l := range m.GetEndpoints() {
					whole += float64(l.GetLoadBalancingWeight().GetValue())
				}
				for _, l := range m.GetEndpoints() {
					for _, e := range l.GetLbEndpoints() {
						rows = append(rows, tableRow{Table: table, Zone: l.GetLocality().GetZone(), Node: e.GetEndpoint().GetHostname(),
							Part: float64(e.GetLoadBalancingWeight().GetValue()) / max(whole, 1), Number: number[table]})
					}
				}
			case kind == xds.Routes:
				var m routev3.RouteConfiguration
				if err := proto.Unmarshal(g.GetXdsConfig().GetValue(), &m); err != nil {
					return nil, err
				}
				rows = append(rows, routeRows(&m, table, number[table])...)
			}
		}
	}
	slices.SortStableFunc(rows, func(a, b tableRow) int { return strings.Compare(a.Table, b.Table) })
	return rows, nil
}

func routeRows(m *routev3.RouteConfiguration, table string, number int) (rows []tableRow) {
	for _, host := range m.GetVirtualHosts() {
		for _, r := range host.GetRoutes() {
			if r.GetRoute() == nil {
				if slices.ContainsFunc(rows, func(before tableRow) bool { return before.Route == r.GetName() }) {
					continue // the part that is turned away of a route that is let in
				}
				rows = append(rows, tableRow{Table: table, Route: r.GetName(), Tries: "none", Number: number})
				continue
			}
			one := tableRow{Table: table, Route: r.GetName(), LetIn: 1, Tries: "none", Number: number}
			if f := r.GetMatch().GetRuntimeFraction().GetDefaultValue(); f != nil {
				one.LetIn = float64(f.GetNumerator()) / 1e6
			}
			if on := r.GetRoute().GetRetryPolicy().GetRetryOn(); on != "" {
				one.Tries = on
			}
			rows = append(rows, one)
		}
	}
	return rows
}

func (o *options) follow() *cobra.Command {
	every, times := time.Second, 0
	c := &cobra.Command{Use: "follow", Short: "Show each change of what sidecars hold and refuse", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if every <= 0 {
				return errors.New("--every has to be over 0")
			}
			last := map[string]string{}
			for n := 0; times == 0 || n < times; n++ {
				configs, err := o.fetch(c.Context(), true)
				if c.Context().Err() != nil {
					return nil
				}
				if err != nil {
					return err
				}
				if err := o.changes(c.OutOrStdout(), configs, last); err != nil {
					return err
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-time.After(every):
				}
			}
			return nil
		}}
	c.Flags().DurationVar(&every, "every", every, "time between two looks")
	c.Flags().IntVar(&times, "times", 0, "looks, 0: until it is ended")
	return c
}

// changes prints what is other than last, a line each.
func (o *options) changes(out io.Writer, configs []*statusv3.ClientConfig, last map[string]string) error {
	tell := func(key, what string, about any) error {
		if last[key] == what {
			return nil
		}
		last[key] = what
		if o.output == "json" {
			return json.NewEncoder(out).Encode(about)
		}
		_, err := fmt.Fprintf(out, "%s %s\n", key, what)
		return err
	}
	for _, c := range configs {
		r := row(c)
		stream := map[bool]string{true: "joined, table " + r.Table, false: "gone"}[r.Joined]
		if err := tell(r.ID, stream, map[string]any{"sidecar": r.ID, "stream": stream}); err != nil {
			return err
		}
		for _, v := range r.Versions {
			what := strings.TrimSpace(v.Status + " " + v.Held + " " + v.Refused + " " + v.Why)
			if err := tell(r.ID+" "+v.Kind+" "+v.Name, what, map[string]any{"sidecar": r.ID, "version": v}); err != nil {
				return err
			}
		}
	}
	return nil
}
