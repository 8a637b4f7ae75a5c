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

// records are the commands that read and change single records of the agreed configuration.
func (o *options) records() *cobra.Command {
	c := &cobra.Command{Use: "records", Short: "Show and change records of the agreed configuration"}
	c.AddCommand(o.recordsList(), o.recordsGet(), o.recordsApply())
	return c
}

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
				return fmt.Errorf("--kind takes route, service, tenant or override, not %q", kind)
			}
			in.Kind = key.Kind
		}
		reading, err := o.readRecords(c.Context(), in)
		if err != nil {
			return err
		}
		if o.output == "json" {
			return write(c.OutOrStdout(), reading)
		}
		return showRecords(c.OutOrStdout(), reading)
	}}
	c.Flags().StringVar(&kind, "kind", "", "only of this kind: route, service, tenant or override")
	c.Flags().StringVar(&service, "service", "", "only of this service")
	return c
}

func showRecords(out io.Writer, reading cluster.RecordsResponse) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tRECORD")
	for _, one := range reading.Records {
		line, err := recordLine(one)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d\t%s\n", one.Revision, line)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if reading.More {
		fmt.Fprintln(out, "there are more: ask by --kind or --service")
	}
	_, err := fmt.Fprintf(out, "%d records as of revision %d\n", len(reading.Records), reading.Revision)
	return err
}

// recordLine is a record as it stands in a file of records.
func recordLine(one cluster.ReadRecord) (string, error) {
	record, err := records.Parse(one.Key, one.Body)
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
		reading, err := o.readRecords(c.Context(), cluster.RecordsRequest{Keys: []records.Key{key}})
		if err != nil {
			return err
		}
		if len(reading.Records) == 0 {
			return fault(fmt.Errorf("%s does not exist as of revision %d: \"records list\" shows what does", key, reading.Revision))
		}
		if o.output == "json" {
			return write(c.OutOrStdout(), reading.Records[0])
		}
		line, err := recordLine(reading.Records[0])
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "// %s, revision %d\n%s\n", key, reading.Records[0].Revision, line)
		return err
	}}
}

// recordsApply writes and removes records in one transaction.
func (o *options) recordsApply() *cobra.Command {
	why, id := "", ""
	c := &cobra.Command{Use: "apply FILE", Short: "Write and remove records together, or none of them", Args: cobra.ExactArgs(1),
		Long: `Write and remove records together, or none of them.

The file has route, service, tenant and override as in an agreed configuration, and remove "kind/name". Each takes
revision=, the revision that the record has to have for the change to be made (0: it must not exist). Records without it
are changed from what is read just before.`,
		RunE: func(c *cobra.Command, files []string) error {
			transaction, err := o.transactionOf(c.Context(), files[0])
			if err != nil {
				return err
			}
			proposal := command(cluster.CommandRecords, 0, id, why)
			proposal.Writes = transaction.Writes
			return o.propose(c, proposal)
		}}
	c.Flags().StringVar(&why, "why", "", "the reason, for the history")
	c.Flags().StringVar(&id, "id", "", "name of this proposal: one that got no answer may be made again under it")
	return c
}

// transactionOf reads a file of records, and from the group the revisions that it does not state.
func (o *options) transactionOf(ctx context.Context, file string) (transaction records.Transaction, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return transaction, fault(err)
	}
	writes, err := config.ParseRecordWrites(string(text))
	if err != nil {
		return transaction, fault(fmt.Errorf("%s: %w", file, err))
	}
	for _, one := range writes {
		transaction.Writes = append(transaction.Writes, one.Write)
	}
	if err := transaction.Validate(); err != nil {
		return transaction, fault(fmt.Errorf("%s: %w", file, err))
	}
	revisions, err := o.revisions(ctx, writes)
	if err != nil {
		return transaction, err
	}
	for at, one := range writes {
		if one.HasRevision {
			continue
		}
		if transaction.Writes[at].ExpectedRevision = revisions[one.Key]; revisions[one.Key] == 0 && len(one.Body) == 0 {
			return transaction, fault(fmt.Errorf("%s can't be removed: it does not exist", one.Key))
		}
	}
	return transaction, nil
}

// revisions reads those of the records whose writes state none.
func (o *options) revisions(ctx context.Context, writes []config.RecordWrite) (map[records.Key]uint64, error) {
	var in cluster.RecordsRequest
	for _, one := range writes {
		if !one.HasRevision {
			in.Keys = append(in.Keys, one.Key)
		}
	}
	if len(in.Keys) == 0 {
		return nil, nil
	}
	reading, err := o.readRecords(ctx, in)
	if err != nil {
		return nil, err
	}
	revisions := map[records.Key]uint64{}
	for _, one := range reading.Records {
		revisions[one.Key] = one.Revision
	}
	return revisions, nil
}

// rejection is why a proposal was refused, and what to do where the reason alone does not tell.
func rejection(reason string) error {
	if strings.HasPrefix(reason, "changed since it was read") {
		reason += "\nnothing was changed; look at them with \"records get\", and apply again with what you want now"
	}
	return fault(errors.New(reason))
}
