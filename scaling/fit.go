package scaling

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit describes how a quantity grows with size.
type Fit struct {
	Quantity Quantity
	Exponent float64 // slope of the logarithms: 0 constant, 1 linear, 2 quadratic
	Tail     float64 // the same over the upper half of the sizes, where what grows slowest no longer hides the rest
	Base     float64 // of the line Base + PerUnit*size
	PerUnit  float64
	R2       float64 // of the line: the part of the variance that it explains
}

// At is the fitted power law's value at a size, carried on from the last sample by the tail's exponent.
func (f Fit) At(last Sample, size float64) float64 {
	return last.Values[f.Quantity] * math.Pow(size/float64(last.Size), f.Tail)
}

// minFitSizes is the number of positive samples that a fit takes.
const minFitSizes = 3

// FitOf fits a quantity over samples. It tells false if too few of them have the quantity.
func FitOf(samples []Sample, q Quantity) (Fit, bool) {
	var x, y, logX, logY []float64
	for _, s := range samples {
		if v := s.Values[q]; v > 0 { // false for NaN
			x, y = append(x, float64(s.Size)), append(y, v)
			logX, logY = append(logX, math.Log(float64(s.Size))), append(logY, math.Log(v))
		}
	}
	if len(x) < minFitSizes {
		return Fit{}, false
	}
	f := Fit{Quantity: q}
	_, f.Exponent = stat.LinearRegression(logX, logY, nil, false)
	half := min(len(x)/2, len(x)-2)
	_, f.Tail = stat.LinearRegression(logX[half:], logY[half:], nil, false)
	f.Base, f.PerUnit = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Base, f.PerUnit)
	return f, true
}

// Fits fits every quantity that the samples tell.
func Fits(samples []Sample) []Fit {
	var fits []Fit
	for q := range quantities {
		if f, known := FitOf(samples, q); known {
			fits = append(fits, f)
		}
	}
	return fits
}
