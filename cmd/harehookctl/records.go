package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/config"
	"harehook.dev/harehook/records"
)

// records returns the commands that read and change single records of the agreed configuration.
func (o *options) records() *cobra.Command {
	c := &cobra.Command{Use: "records", Short: "Show and change records of the agreed configuration"}
	c.AddCommand(o.recordsList(), o.recordsGet(), o.recordsApply())
	return c
}

// readRecords reads records from a member.
func (o *options) readRecords(ctx context.Context, in cluster.RecordsRequest) (cluster.RecordsResponse, error) {
	return callGroup[cluster.RecordsResponse](ctx, o, "Records", in)
}

// recordsList prints records by kind and service.
func (o *options) recordsList() *cobra.Command {
	kind, service := "", ""
	c := &cobra.Command{Use: "list", Short: "List the records with the revisions that set them", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		in := cluster.RecordsRequest{Service: service}
		if kind != "" {
			key, err := records.ParseKey(kind + "/any")
			if err != nil {
				return fmt.Errorf("--kind must be route, service, tenant or override, got %q", kind)
			}
			in.Kind = key.Kind
		}
		response, err := o.readRecords(c.Context(), in)
		if err != nil {
			return err
		}
		if o.output == "json" {
			return writeJSON(c.OutOrStdout(), response)
		}
		return showRecords(c.OutOrStdout(), response)
	}}
	c.Flags().StringVar(&kind, "kind", "", "list only records of this kind: route, service, tenant or override")
	c.Flags().StringVar(&service, "service", "", "list only records of this service")
	return c
}

func showRecords(out io.Writer, response cluster.RecordsResponse) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tRECORD")
	for _, record := range response.Records {
		line, err := formatRecord(record)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d\t%s\n", record.Revision, line)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if response.More {
		fmt.Fprintln(out, "not all records are shown: narrow the list with --kind or --service")
	}
	_, err := fmt.Fprintf(out, "%d records as of revision %d\n", len(response.Records), response.Revision)
	return err
}

// formatRecord formats a record as in a file of records.
func formatRecord(read cluster.ReadRecord) (string, error) {
	record, err := records.Parse(read.Key, read.Body)
	if err != nil {
		return "", fault(err)
	}
	return config.FormatRecord(record), nil
}

// recordsGet prints one record.
func (o *options) recordsGet() *cobra.Command {
	return &cobra.Command{Use: "get KIND/NAME", Short: "Show a record with the revision that set it", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		key, err := records.ParseKey(args[0])
		if err != nil {
			return err
		}
		response, err := o.readRecords(c.Context(), cluster.RecordsRequest{Keys: []records.Key{key}})
		if err != nil {
			return err
		}
		if len(response.Records) == 0 {
			return fault(fmt.Errorf("%s does not exist as of revision %d; \"records list\" shows the existing records", key, response.Revision))
		}
		if o.output == "json" {
			return writeJSON(c.OutOrStdout(), response.Records[0])
		}
		line, err := formatRecord(response.Records[0])
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "// %s, revision %d\n%s\n", key, response.Records[0].Revision, line)
		return err
	}}
}

// recordsApply writes and removes records in one transaction.
func (o *options) recordsApply() *cobra.Command {
	why, id := "", ""
	c := &cobra.Command{Use: "apply FILE", Short: "Write and remove records in one transaction", Args: cobra.ExactArgs(1),
		Long: `Write and remove records in one transaction: either all changes are applied, or none.

List route, service, tenant and override in the file as in an agreed configuration, and remove "kind/name" for each record
to remove. Set revision= to the revision that the record must have for the transaction to be applied (0: the record must
not exist). For records without it, the current revision is read immediately before the proposal.`,
		RunE: func(c *cobra.Command, files []string) error {
			transaction, err := o.readTransaction(c.Context(), files[0])
			if err != nil {
				return err
			}
			proposal := newCommand(cluster.CommandRecords, 0, id, why)
			proposal.Writes = transaction.Writes
			return o.propose(c, proposal)
		}}
	c.Flags().StringVar(&why, "why", "", "the reason, for the history")
	c.Flags().StringVar(&id, "id", "", "ID of the proposal; repeat a proposal that got no response under the same ID to apply it only once")
	return c
}

// readTransaction reads a transaction from a file, and the revisions that the file does not state from the group.
func (o *options) readTransaction(ctx context.Context, file string) (transaction records.Transaction, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return transaction, fault(err)
	}
	writes, err := config.ParseRecordWrites(string(text))
	if err != nil {
		return transaction, fault(fmt.Errorf("%s: %w", file, err))
	}
	for _, write := range writes {
		transaction.Writes = append(transaction.Writes, write.Write)
	}
	if err := transaction.Validate(); err != nil {
		return transaction, fault(fmt.Errorf("%s: %w", file, err))
	}
	revisions, err := o.revisions(ctx, writes)
	if err != nil {
		return transaction, err
	}
	for index, write := range writes {
		if write.HasRevision {
			continue
		}
		if transaction.Writes[index].ExpectedRevision = revisions[write.Key]; revisions[write.Key] == 0 && len(write.Body) == 0 {
			return transaction, fault(fmt.Errorf("cannot remove %s: it does not exist", write.Key))
		}
	}
	return transaction, nil
}

// revisions reads the current revisions of the records whose writes state none.
func (o *options) revisions(ctx context.Context, writes []config.RecordWrite) (map[records.Key]uint64, error) {
	var in cluster.RecordsRequest
	for _, write := range writes {
		if !write.HasRevision {
			in.Keys = append(in.Keys, write.Key)
		}
	}
	if len(in.Keys) == 0 {
		return nil, nil
	}
	response, err := o.readRecords(ctx, in)
	if err != nil {
		return nil, err
	}
	revisions := map[records.Key]uint64{}
	for _, record := range response.Records {
		revisions[record.Key] = record.Revision
	}
	return revisions, nil
}

// rejectionError returns the error for a rejected proposal. A conflict with a newer revision also names the next step.
func rejectionError(reason string) error {
	if strings.HasPrefix(reason, "changed since it was read") {
		reason += "\nno record was changed; look at them with \"records get\", and apply the file again with the changes you still want"
	}
	return fault(errors.New(reason))
}
