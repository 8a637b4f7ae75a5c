package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"github.com/spf13/cobra"

	"harehook.dev/harehook/xds"
	xdstransport "harehook.dev/harehook/xds/transport"
)

// fetch fetches the status of the sidecars from a controller. If withoutContents is set, the response omits the
// contents of resources.
func (o *options) fetch(ctx context.Context, withoutContents bool) ([]*statusv3.ClientConfig, error) {
	conn, err := o.dial()
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	response, err := statusv3.NewClientStatusDiscoveryServiceClient(conn).FetchClientStatus(ctx, &statusv3.ClientStatusRequest{ExcludeResourceContents: withoutContents})
	if err != nil {
		return nil, unavailable(fmt.Errorf("controller %s: %w", o.address, err))
	}
	return response.GetConfig(), nil
}

// sidecarOutput is the state of a sidecar as it is printed.
type sidecarOutput struct {
	ID            string          `json:"id"`
	Zone          string          `json:"zone"`
	Table         string          `json:"table"`
	Connected     bool            `json:"joined"`
	DisconnectedS float64         `json:"away_s,omitempty"`
	Unconfirmed   int             `json:"unconfirmed"`
	Versions      []versionOutput `json:"versions"`
}

// versionOutput holds the last accepted version of a resource, and the rejected one if there is any.
type versionOutput struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Accepted string `json:"held"`
	Status   string `json:"status"`
	Rejected string `json:"refused,omitempty"`
	Reason   string `json:"why,omitempty"`
}

func newSidecarOutput(c *statusv3.ClientConfig) sidecarOutput {
	metadata := c.GetNode().GetMetadata().GetFields()
	r := sidecarOutput{ID: c.GetNode().GetId(), Zone: c.GetNode().GetLocality().GetZone(), Table: metadata[xdstransport.StatusTable].GetStringValue(),
		Connected: metadata[xdstransport.StatusConnected].GetBoolValue(), DisconnectedS: metadata[xdstransport.StatusDisconnectedSeconds].GetNumberValue(),
		Unconfirmed: int(metadata[xdstransport.StatusUnconfirmed].GetNumberValue())}
	for _, g := range c.GetGenericXdsConfigs() {
		kind, _ := xds.ParseTypeURL(g.GetTypeUrl())
		r.Versions = append(r.Versions, versionOutput{kind.String(), g.GetName(), g.GetVersionInfo(), strings.ToLower(g.GetConfigStatus().String()),
			g.GetErrorState().GetVersionInfo(), g.GetErrorState().GetDetails()})
	}
	return r
}

func (r sidecarOutput) rejects() bool {
	return slices.ContainsFunc(r.Versions, func(v versionOutput) bool { return v.Rejected != "" })
}

// sidecars lists what each sidecar has accepted and rejected.
func (o *options) sidecars() *cobra.Command {
	onlyRejecting := false
	c := &cobra.Command{Use: "sidecars", Short: "Show the versions that each sidecar has accepted and rejected", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			configs, err := o.fetch(c.Context(), true)
			if err != nil {
				return err
			}
			var rows []sidecarOutput
			rejecting := 0
			for _, config := range configs {
				r := newSidecarOutput(config)
				if r.rejects() {
					rejecting++
				} else if onlyRejecting {
					continue
				}
				rows = append(rows, r)
			}
			if o.output == "json" {
				err = writeJSON(c.OutOrStdout(), rows)
			} else {
				err = showSidecars(c.OutOrStdout(), rows)
			}
			if err == nil && rejecting > 0 {
				return fault(fmt.Errorf("%d of %d sidecars reject a version", rejecting, len(configs)))
			}
			return err
		}}
	c.Flags().BoolVar(&onlyRejecting, "refusing", false, "show only sidecars that reject a version")
	return c
}

func showSidecars(out io.Writer, rows []sidecarOutput) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SIDECAR\tZONE\tTABLE\tSTREAM\tKIND\tNAME\tHELD\tSTATUS\tREFUSED")
	for _, r := range rows {
		stream := "connected"
		if !r.Connected {
			stream = fmt.Sprintf("gone %.0f s", r.DisconnectedS)
		}
		if len(r.Versions) == 0 {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\t-\t-\t-\t\n", r.ID, r.Zone, r.Table, stream)
		}
		for _, v := range r.Versions {
			rejected := ""
			if v.Rejected != "" {
				rejected = v.Rejected + ": " + v.Reason
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.Zone, r.Table, stream, v.Kind, v.Name, v.Accepted, v.Status, rejected)
		}
	}
	return w.Flush()
}
