package loadtest

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// minSizes is the minimum number of sizes for fitting a slope.
const minSizes = 4

// Slope describes the growth of a metric with the swept figure, by a linear fit and by a power law.
type Slope struct {
	Metric    string  `json:"metric"`
	Unit      string  `json:"unit"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	R2        float64 `json:"r2"`       // of the linear fit
	Exponent  float64 `json:"exponent"` // of the power law; 1 is linear growth
	Sizes     int     `json:"sizes"`
}

// fitSlopes fits a slope to each metric that was measured at minSizes sizes or more.
func fitSlopes(rows []Row) (slopes []Slope) {
	for _, m := range metrics {
		sizes, values := m.positiveValues(rows)
		if len(sizes) >= minSizes {
			slopes = append(slopes, fitSlope(m, sizes, values))
		}
	}
	return slopes
}

// positiveValues returns the positive values of a metric and their sizes. Other values were not measured or have no
// logarithm.
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

// fitSlope fits a line to the values and a line to their logarithms.
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
