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
	front "harehook.dev/harehook/xds/transport"
)

// fetch fetches the status of the sidecars from a controller. If bare is set, resources are sent without contents.
func (o *options) fetch(ctx context.Context, bare bool) ([]*statusv3.ClientConfig, error) {
	conn, err := o.dial()
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	got, err := statusv3.NewClientStatusDiscoveryServiceClient(conn).FetchClientStatus(ctx, &statusv3.ClientStatusRequest{ExcludeResourceContents: bare})
	if err != nil {
		return nil, unavailable(fmt.Errorf("controller %s: %w", o.address, err))
	}
	return got.GetConfig(), nil
}

// sidecarOutput is the state of a sidecar as it is printed.
type sidecarOutput struct {
	ID            string          `json:"id"`
	Zone          string          `json:"zone"`
	Table         string          `json:"table"`
	Joined        bool            `json:"joined"`
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

func sidecarOutputOf(c *statusv3.ClientConfig) sidecarOutput {
	about := c.GetNode().GetMetadata().GetFields()
	r := sidecarOutput{ID: c.GetNode().GetId(), Zone: c.GetNode().GetLocality().GetZone(), Table: about[front.StatusTable].GetStringValue(),
		Joined: about[front.StatusConnected].GetBoolValue(), DisconnectedS: about[front.StatusDisconnectedSeconds].GetNumberValue(),
		Unconfirmed: int(about[front.StatusUnconfirmed].GetNumberValue())}
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
	refusing := false
	c := &cobra.Command{Use: "sidecars", Short: "Show the versions that each sidecar has accepted and rejected", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			configs, err := o.fetch(c.Context(), true)
			if err != nil {
				return err
			}
			var rows []sidecarOutput
			refused := 0
			for _, config := range configs {
				r := sidecarOutputOf(config)
				if r.rejects() {
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
				return fault(fmt.Errorf("%d of %d sidecars reject a version", refused, len(configs)))
			}
			return err
		}}
	c.Flags().BoolVar(&refusing, "refusing", false, "show only sidecars that reject a version")
	return c
}

func showSidecars(out io.Writer, rows []sidecarOutput) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SIDECAR\tZONE\tTABLE\tSTREAM\tKIND\tNAME\tHELD\tSTATUS\tREFUSED")
	for _, r := range rows {
		stream := "connected"
		if !r.Joined {
			stream = fmt.Sprintf("gone %.0f s", r.DisconnectedS)
		}
		if len(r.Versions) == 0 {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\t-\t-\t-\t\n", r.ID, r.Zone, r.Table, stream)
		}
		for _, v := range r.Versions {
			refused := ""
			if v.Rejected != "" {
				refused = v.Rejected + ": " + v.Reason
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.Zone, r.Table, stream, v.Kind, v.Name, v.Accepted, v.Status, refused)
		}
	}
	return w.Flush()
}
