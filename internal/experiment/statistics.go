package experiment

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Mean is a mean over the runs of a variant with its 95 per cent confidence interval by Student's t
// distribution. Half is the half width of the interval, 0 for a single run.
type Mean struct{ Value, Half float64 }

// String returns the mean and the half width of its interval, as in "12.5 ± 0.3".
func (m Mean) String() string {
	if m.Half == 0 {
		return formatDigits(m.Value)
	}
	return formatDigits(m.Value) + " ± " + formatDigits(m.Half)
}

// formatDigits formats a number with three significant digits, or with all digits before the decimal point if
// there are more.
func formatDigits(value float64) string {
	if math.Abs(value) >= 100 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

// studentT holds the 97.5 per cent quantiles of Student's t distribution, indexed by degrees of freedom.
var studentT = []float64{0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23}

// studentTLarge is the quantile for more degrees of freedom than studentT contains.
const studentTLarge = 1.98

// mean returns the mean of the values and its confidence interval.
func mean(values []float64) Mean {
	count := float64(len(values))
	if count == 0 {
		return Mean{}
	}
	var sum, squares float64
	for _, value := range values {
		sum += value
	}
	center := sum / count
	for _, value := range values {
		squares += (value - center) * (value - center)
	}
	if count < 2 {
		return Mean{Value: center}
	}
	t := studentTLarge
	if degreesOfFreedom := len(values) - 1; degreesOfFreedom < len(studentT) {
		t = studentT[degreesOfFreedom]
	}
	return Mean{Value: center, Half: t * math.Sqrt(squares/(count-1)/count)}
}

// average returns the mean without its confidence interval.
func average(values []float64) float64 { return mean(values).Value }

const (
	maxQuantileMillis = 1e10
	quantileDigits    = 3 // number of significant digits of a quantile
	millisPerSecond   = 1e3
)

// quantile returns the q quantile of times in seconds with three significant digits, or 0 if there are no
// times.
func quantile(times []float64, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	histogram := hdrhistogram.New(1, maxQuantileMillis, quantileDigits)
	for _, timeS := range times {
		millis := max(1, min(maxQuantileMillis, int64(timeS*millisPerSecond)))
		_ = histogram.RecordValue(millis) // cannot fail: millis is within the bounds
	}
	return float64(histogram.ValueAtQuantile(100*q)) / millisPerSecond
}
