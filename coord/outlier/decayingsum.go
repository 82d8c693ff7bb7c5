package outlier

import (
	"math"
	"time"
)

// negligibleSum is the sum below which it isn't shown, and what it belongs to is forgotten.
const negligibleSum = 0.05

// decayingSum is a sum that halves with time. Its zero value is an empty sum. It is always used with the same half-life.
type decayingSum struct {
	value float64
	at    time.Time // of the value
}

// decay brings the sum to a time and returns its value; a time before the last one leaves the value as it is.
func (s *decayingSum) decay(now time.Time, halfLife time.Duration) float64 {
	if s.value != 0 && now.After(s.at) {
		s.value *= math.Exp2(-now.Sub(s.at).Seconds() / halfLife.Seconds())
	}
	s.at = now
	return s.value
}

func (s *decayingSum) add(amount float64, now time.Time, halfLife time.Duration) {
	s.value = s.decay(now, halfLife) + amount
}
