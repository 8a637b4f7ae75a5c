package config

import (
	"slices"
	"strconv"
	"strings"

	"harehook.dev/harehook/records"
)

// TextFormat converts between the KDL text of an agreed configuration, as operators write it, and its records.
type TextFormat struct{}

// Parse returns the records of a text, ordered by key. The error is that of [ParseAgreed].
func (TextFormat) Parse(text string) ([]*records.Record, error) {
	a, err := ParseAgreed(text)
	if err != nil {
		return nil, err
	}
	return a.Records, nil
}

// Format returns the text of the given records. Parse returns the same records for it. Routes with longer prefixes come
// first.
func (TextFormat) Format(list []*records.Record) string {
	if len(list) == 0 {
		return ""
	}
	byKind := map[records.Kind][]string{}
	for _, record := range sortByPrecedence(list) {
		byKind[record.Kind] = append(byKind[record.Kind], FormatRecord(record))
	}
	var text strings.Builder
	text.WriteString(agreedNode + " {\n")
	for _, kind := range []records.Kind{records.KindService, records.KindRoute, records.KindTenant, records.KindOverride} {
		for _, line := range byKind[kind] {
			text.WriteString("  " + line + "\n")
		}
	}
	text.WriteString("}\n")
	return text.String()
}

// sortByPrecedence returns the records with routes in the order in which they are matched (longer prefixes first), and
// all other records in the order of their keys.
func sortByPrecedence(list []*records.Record) []*records.Record {
	prefixes := map[*records.Record]string{}
	for _, record := range list {
		if spec, err := record.Route(); err == nil && record.Kind == records.KindRoute {
			prefixes[record] = spec.Prefix
		}
	}
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b *records.Record) int {
		if a.Kind != b.Kind || a.Kind != records.KindRoute {
			return compareKeys(a, b)
		}
		return comparePrefixes(prefixes[a], prefixes[b])
	})
	return sorted
}

// comparePrefixes orders longer prefixes first.
func comparePrefixes(a, b string) int {
	if len(a) != len(b) {
		return len(b) - len(a)
	}
	return strings.Compare(a, b)
}

// FormatRecord returns the line of text that defines a record.
func FormatRecord(record *records.Record) string {
	start := record.Kind.String() + " " + strconv.Quote(record.Name)
	switch record.Kind {
	case records.KindRoute:
		spec, _ := record.Route() // records.Parse has decoded it
		return start + formatRoute(spec)
	case records.KindService:
		spec, _ := record.ServiceSpec()
		return start + formatService(spec)
	case records.KindTenant:
		spec, _ := record.Tenant()
		return start + formatProperty("service", spec.Service) + " share=" + formatNumber(spec.Share)
	case records.KindOverride:
		spec, _ := record.Override()
		return start + formatProperty("state", spec.State) + formatProperty("service", spec.Service) +
			formatProperty("zone", spec.Zone)
	}
	return start
}

func formatRoute(spec records.RouteSpec) string {
	line := formatProperty("service", spec.Service)
	line += " { prefix " + strconv.Quote(spec.Prefix) + "; limit-ms " + formatNumber(spec.TimeLimitMS) + ";"
	if spec.Mutating {
		line += " mutating;"
	}
	if spec.MaxAdmitted > 0 {
		line += " most " + formatNumber(spec.MaxAdmitted) + ";"
	}
	return line + " }"
}

func formatService(spec records.ServiceSpec) string {
	if len(spec.Zones) == 0 {
		return ""
	}
	line := " { zones"
	for _, zone := range spec.Zones {
		line += " " + strconv.Quote(zone)
	}
	return line + "; }"
}

// formatProperty returns the text of a property, or "" if its value is empty.
func formatProperty(name, value string) string {
	if value == "" {
		return ""
	}
	return " " + name + "=" + strconv.Quote(value)
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }
