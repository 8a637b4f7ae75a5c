package loadtest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecordedDuration = time.Hour
	maxMessageBytes     = 64 << 20
	significantDigits   = 3 // precision of histograms, in decimal digits
)

// durationHistogram is a histogram of durations.
type durationHistogram struct{ microseconds *hdrhistogram.Histogram }

func newDurationHistogram() *durationHistogram {
	return &durationHistogram{hdrhistogram.New(1, maxRecordedDuration.Microseconds(), significantDigits)}
}

// record adds a duration, clamped to the range of the histogram.
func (h *durationHistogram) record(d time.Duration) {
	clamped := min(max(d.Microseconds(), 1), maxRecordedDuration.Microseconds())
	h.microseconds.RecordValue(clamped)
}

// DurationSummary summarizes a distribution of durations for reports. It is the zero value if there are no durations.
type DurationSummary struct {
	Count    int64   `json:"count"`
	MedianMS float64 `json:"median_ms"`
	P90MS    float64 `json:"nine_in_ten_ms"`
	P99MS    float64 `json:"p99_ms"`
	WorstMS  float64 `json:"worst_ms"`
}

func (h *durationHistogram) summary() DurationSummary {
	if h.microseconds.TotalCount() == 0 {
		return DurationSummary{}
	}
	const microsecondsPerMS = 1000
	percentileMS := func(percentile float64) float64 {
		return float64(h.microseconds.ValueAtQuantile(percentile)) / microsecondsPerMS
	}
	return DurationSummary{
		Count:    h.microseconds.TotalCount(),
		MedianMS: percentileMS(50),
		P90MS:    percentileMS(90),
		P99MS:    percentileMS(99),
		WorstMS:  float64(h.microseconds.Max()) / microsecondsPerMS,
	}
}

// newSizeHistogram returns a histogram of sizes in bytes.
func newSizeHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMessageBytes, significantDigits)
}

// SizeSummary summarizes a distribution of sizes in bytes for reports. It is the zero value if there are no sizes.
type SizeSummary struct {
	Count  int64 `json:"count"`
	Median int64 `json:"median"`
	P99    int64 `json:"p99"`
	Worst  int64 `json:"worst"`
	Sum    int64 `json:"sum"`
}

func summarizeSizes(sizes *hdrhistogram.Histogram) SizeSummary {
	if sizes.TotalCount() == 0 {
		return SizeSummary{}
	}
	return SizeSummary{
		Count:  sizes.TotalCount(),
		Median: sizes.ValueAtQuantile(50),
		P99:    sizes.ValueAtQuantile(99),
		Worst:  sizes.Max(),
		Sum:    int64(sizes.Mean() * float64(sizes.TotalCount())),
	}
}
