package simulation

import (
	"strings"

	"harehook.dev/harehook/records"
)

// plainText has every text be a configuration of one route: the simulated operators write texts that tell versions apart.
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
