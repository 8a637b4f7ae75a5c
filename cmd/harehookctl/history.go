package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/cluster"
)

// read reads versions of the agreed configuration from a member.
func (o *options) read(ctx context.Context, in cluster.ReadRequest) (cluster.ReadResponse, error) {
	return callGroup[cluster.ReadResponse](ctx, o, "Read", in)
}

// config prints the configuration in effect.
func (o *options) config() *cobra.Command {
	stale := false
	c := &cobra.Command{Use: "config", Short: "Print the configuration in effect", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		r, err := o.read(c.Context(), cluster.ReadRequest{Linearizable: !stale})
		if err != nil {
			return err
		}
		if o.output == "json" {
			return writeJSON(c.OutOrStdout(), r)
		}
		v := r.Versions[0]
		if !r.Linearizable {
			fmt.Fprintln(c.OutOrStdout(), "// may be stale: read from this member alone")
		}
		if v.Number == 0 {
			fmt.Fprintln(c.OutOrStdout(), "// no configuration has been agreed yet: controllers use their own files")
			return nil
		}
		fmt.Fprintf(c.OutOrStdout(), "// version %d, by %s, %s: %s\n%s\n", v.Number, v.By, time.Unix(v.At, 0).UTC().Format(time.RFC3339), v.Why, strings.TrimSpace(v.Text))
		return nil
	}}
	c.Flags().BoolVar(&stale, "stale", false, "read from this member alone, without confirmation by a majority; the result may be stale")
	return c
}

// history lists the retained versions.
func (o *options) history() *cobra.Command {
	return &cobra.Command{Use: "history", Short: "List the retained versions", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		in := cluster.ReadRequest{Linearizable: true, History: true}
		if o.output != "json" {
			in.Texts = []uint64{} // the table has no column for the texts
		}
		r, err := o.read(c.Context(), in)
		if err != nil {
			return err
		}
		if o.output == "json" {
			return writeJSON(c.OutOrStdout(), r.Versions)
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "VERSION\tTERM\tAT\tBY\tWHY")
		for _, v := range r.Versions {
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\n", v.Number, v.Term, time.Unix(v.At, 0).UTC().Format(time.RFC3339), v.By, v.Why)
		}
		return w.Flush()
	}}
}

// diff prints the lines in which two versions differ.
func (o *options) diff() *cobra.Command {
	return &cobra.Command{Use: "diff FROM TO", Short: "Show the lines in which two versions differ; version 0 is empty", Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		in := cluster.ReadRequest{Linearizable: true, History: true, Texts: []uint64{}}
		for _, arg := range args {
			number, err := strconv.ParseUint(arg, 10, 64)
			if err != nil {
				return fmt.Errorf("number of a version must be a non-negative integer, got %q", arg)
			}
			in.Texts = append(in.Texts, number)
		}
		r, err := o.read(c.Context(), in)
		if err != nil {
			return err
		}
		var texts [2]string
		for index, number := range in.Texts {
			if texts[index], err = versionText(r.Versions, number); err != nil {
				return err
			}
		}
		for _, line := range difference(strings.Split(strings.TrimSpace(texts[0]), "\n"), strings.Split(strings.TrimSpace(texts[1]), "\n")) {
			fmt.Fprintln(c.OutOrStdout(), line)
		}
		return nil
	}}
}

// versionText returns the text of the version with a number. Version 0 has an empty text.
func versionText(versions []cluster.Version, number uint64) (string, error) {
	if number == 0 {
		return "", nil
	}
	at := slices.IndexFunc(versions, func(v cluster.Version) bool { return v.Number == number })
	switch {
	case at < 0:
		return "", fault(fmt.Errorf("version %d is not retained; \"history\" lists the retained versions", number))
	case versions[at].Text == "":
		return "", fault(fmt.Errorf("text of version %d is not retained: too many changes since", number))
	}
	return versions[at].Text, nil
}
