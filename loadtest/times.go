package loadtest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// durationHistogram is a histogram of durations.
type durationHistogram struct{ histogram *hdrhistogram.Histogram } // of microseconds

const maxRecordedDuration = time.Hour

func newDurationHistogram() *durationHistogram {
	return &durationHistogram{hdrhistogram.New(1, maxRecordedDuration.Microseconds(), significantDigits)}
}

func (t *durationHistogram) record(d time.Duration) {
	t.histogram.RecordValue(min(max(d.Microseconds(), 1), maxRecordedDuration.Microseconds()))
}

// DurationSummary is a distribution of durations as it is told.
type DurationSummary struct {
	Count    int64   `json:"count"`
	MedianMS float64 `json:"median_ms"`
	P90MS    float64 `json:"nine_in_ten_ms"`
	P99MS    float64 `json:"p99_ms"`
	WorstMS  float64 `json:"worst_ms"`
}

func (t *durationHistogram) summary() DurationSummary {
	at := func(quantile float64) float64 { return float64(t.histogram.ValueAtQuantile(quantile)) / 1000 }
	if t.histogram.TotalCount() == 0 {
		return DurationSummary{}
	}
	return DurationSummary{t.histogram.TotalCount(), at(50), at(90), at(99), float64(t.histogram.Max()) / 1000}
}

// SizeSummary is a distribution of sizes as it is told.
type SizeSummary struct {
	Count  int64 `json:"count"`
	Median int64 `json:"median"`
	P99    int64 `json:"p99"`
	Worst  int64 `json:"worst"`
	Sum    int64 `json:"sum"`
}

func summarizeSizes(h *hdrhistogram.Histogram) SizeSummary {
	if h.TotalCount() == 0 {
		return SizeSummary{}
	}
	return SizeSummary{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max(), int64(h.Mean() * float64(h.TotalCount()))}
}
