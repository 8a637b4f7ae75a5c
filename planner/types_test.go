package planner

import (
	"fmt"
	"testing"
)

// A value from a later release or from the wire must be recognizable in logs and messages.
func TestEnumerationsHaveNames(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
	}{
		{NoRetry, "no retry"},
		{RetryIfNotSent, "retry if not sent"},
		{RetryPolicy(7), "RetryPolicy(7)"},
		{AdmissionOff, "off"},
		{AdmissionFraction, "fraction"},
		{AdmissionRate, "rate"},
		{AdmissionKind(7), "AdmissionKind(7)"},
		{Healthy, "healthy"},
		{Ejected, "ejected"},
		{Probation, "probation"},
		{Health(7), "health(7)"},
	} {
		if got := c.value.String(); got != c.want {
			t.Errorf("%T(%d).String() = %q, want %q", c.value, c.value, got, c.want)
		}
	}
}
