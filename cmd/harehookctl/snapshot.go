package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/cluster"
)

// savedHistory is the content of the file to which operators save the history.
type savedHistory struct {
	Format   int               `json:"format"`
	Versions []cluster.Version `json:"versions"`
}

const savedHistoryFormat = 1

// snapshot saves the retained versions to a file, and puts the last version of such a file into effect.
func (o *options) snapshot() *cobra.Command {
	c := &cobra.Command{Use: "snapshot", Short: "Save the retained versions to a file, or put the last version of such a file into effect"}
	c.AddCommand(&cobra.Command{Use: "save FILE", Short: "Save the retained versions", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		r, err := o.read(c.Context(), cluster.ReadRequest{Linearizable: true, History: true})
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(savedHistory{savedHistoryFormat, r.Versions}, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(args[0], append(text, '\n'), 0o600); err != nil {
			return fault(err)
		}
		fmt.Fprintf(c.OutOrStdout(), "%d versions\n", len(r.Versions))
		return nil
	}}, &cobra.Command{Use: "restore FILE", Short: "Put the last version of a saved history into effect, for example after the loss of a majority", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return fault(err)
		}
		var history savedHistory
		if err := json.Unmarshal(text, &history); err != nil || history.Format != savedHistoryFormat || len(history.Versions) == 0 {
			return fault(fmt.Errorf("%s is not a saved history of format %d", args[0], savedHistoryFormat))
		}
		r, err := o.read(c.Context(), cluster.ReadRequest{Linearizable: true})
		if err != nil {
			return err
		}
		last := history.Versions[len(history.Versions)-1]
		if last.Text == "" {
			return fault(fmt.Errorf("%s does not contain the text of its last version", args[0]))
		}
		restore := newCommand(cluster.CommandPut, r.Versions[0].Number, "", fmt.Sprintf("restored: version %d of another history, by %s: %s", last.Number, last.By, last.Why))
		restore.Text = last.Text
		return o.propose(c, restore)
	}})
	return c
}
