package scaling

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// BenchmarkSlope measures all slopes. To measure one: go test ./scaling -bench Slope/NAME.
func BenchmarkSlope(b *testing.B) {
	for _, slope := range All() {
		b.Run(slope.Name, func(b *testing.B) {
			for _, size := range slope.Sizes {
				b.Run(fmt.Sprint("size=", size), func(b *testing.B) {
					sample := newSample(size)
					for b.Loop() {
						var err error
						if sample, err = slope.Run(size, Brief); err != nil {
							b.Fatal(err)
						}
					}
					for quantity, value := range sample.Values {
						if !math.IsNaN(value) {
							b.ReportMetric(value, strings.ReplaceAll(Quantity(quantity).String(), " ", "-"))
						}
					}
				})
			}
		})
	}
}
