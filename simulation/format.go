package simulation

import (
	"strings"

	"harehook.dev/harehook/records"
)

// plainText is a text format in which each text is a configuration of one route, with the text as its prefix. The texts
// of the simulated operators only have to differ between versions.
type plainText struct{}

// Parse implements cluster.TextFormat.
func (plainText) Parse(text string) ([]*records.Record, error) {
	key := records.Key{Kind: records.KindRoute, Name: "text"}
	record, err := records.New(key, records.RouteSpec{Prefix: "/" + text, TimeLimitMS: 1})
	return []*records.Record{record}, err
}

// Format implements cluster.TextFormat.
func (plainText) Format(list []*records.Record) string {
	for _, record := range list {
		if spec, err := record.Route(); err == nil {
			return strings.TrimPrefix(spec.Prefix, "/")
		}
	}
	return ""
}
