package loadtest

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// minSizes is the number of sizes that a slope is fitted to at least.
const minSizes = 4

// Slope is how a metric grows with the swept figure: linearly, and as a power of it.
type Slope struct {
	Metric    string  `json:"metric"`
	Unit      string  `json:"unit"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	R2        float64 `json:"r2"`       // of the linear fit
	Exponent  float64 `json:"exponent"` // of the fit to logarithms; 1 is linear
	Sizes     int     `json:"sizes"`
}

// fitSlopes fits each metric that was measured at enough sizes.
func fitSlopes(rows []Row) (slopes []Slope) {
	for _, m := range metrics {
		sizes, values := m.positiveValues(rows)
		if len(sizes) >= minSizes {
			slopes = append(slopes, fitSlope(m, sizes, values))
		}
	}
	return slopes
}

// positiveValues returns the values of a metric with the sizes at which they were measured; those that are not positive
// were not measured, or have no logarithm.
func (m metric) positiveValues(rows []Row) (sizes, values []float64) {
	for index := range rows {
		size := rows[index].Value
		value := m.value(&rows[index])
		if size > 0 && value > 0 {
			sizes = append(sizes, size)
			values = append(values, value)
		}
	}
	return sizes, values
}

// fitSlope fits a line, and a line through the logarithms.
func fitSlope(m metric, sizes, values []float64) Slope {
	slope := Slope{Metric: m.name, Unit: m.unit, Sizes: len(sizes)}
	slope.Intercept, slope.PerUnit = stat.LinearRegression(sizes, values, nil, false)
	slope.R2 = stat.RSquared(sizes, values, nil, slope.Intercept, slope.PerUnit)
	_, slope.Exponent = stat.LinearRegression(logarithms(sizes), logarithms(values), nil, false)
	return slope
}

func logarithms(values []float64) (logs []float64) {
	for _, value := range values {
		logs = append(logs, math.Log(value))
	}
	return logs
}
