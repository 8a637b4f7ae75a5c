package scaling

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit describes how a quantity grows with size.
type Fit struct {
	Quantity Quantity
	Exponent float64 // slope of the logarithms: 0 constant, 1 linear, 2 quadratic
	Tail     float64 // exponent over the upper half of the sizes, where the slowest-growing terms no longer mask the others
	Base     float64 // of the line Base + PerUnit*size
	PerUnit  float64
	R2       float64 // of the line: fraction of the variance that it explains
}

// At returns the value of the fitted power law at a size, extrapolated from the last sample by the tail exponent.
func (f Fit) At(last Sample, size float64) float64 {
	return last.Values[f.Quantity] * math.Pow(size/float64(last.Size), f.Tail)
}

// minFitSizes is the minimum number of positive samples of a fit.
const minFitSizes = 3

// FitOf fits a quantity over samples. known is false if fewer than minFitSizes samples have a positive value of the
// quantity.
func FitOf(samples []Sample, quantity Quantity) (fit Fit, known bool) {
	sizes, values := positiveValues(samples, quantity)
	if len(sizes) < minFitSizes {
		return Fit{}, false
	}
	fit = Fit{Quantity: quantity}
	fit.Exponent = exponent(sizes, values)
	upperHalf := min(len(sizes)/2, len(sizes)-2) // leaves at least two sizes
	fit.Tail = exponent(sizes[upperHalf:], values[upperHalf:])
	fit.Base, fit.PerUnit = stat.LinearRegression(sizes, values, nil, false)
	fit.R2 = stat.RSquared(sizes, values, nil, fit.Base, fit.PerUnit)
	return fit, true
}

// positiveValues returns the positive values of a quantity with their sizes. NaN is not positive.
func positiveValues(samples []Sample, quantity Quantity) (sizes, values []float64) {
	for _, sample := range samples {
		value := sample.Values[quantity]
		if value > 0 {
			sizes = append(sizes, float64(sample.Size))
			values = append(values, value)
		}
	}
	return sizes, values
}

// exponent returns the slope of the line through the logarithms.
func exponent(sizes, values []float64) float64 {
	_, slope := stat.LinearRegression(logarithms(sizes), logarithms(values), nil, false)
	return slope
}

func logarithms(values []float64) (logs []float64) {
	for _, value := range values {
		logs = append(logs, math.Log(value))
	}
	return logs
}

// Fits fits each quantity that has enough positive samples.
func Fits(samples []Sample) []Fit {
	var fits []Fit
	for quantity := range quantityCount {
		fit, known := FitOf(samples, quantity)
		if known {
			fits = append(fits, fit)
		}
	}
	return fits
}
