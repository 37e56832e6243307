package throttler

import (
	"math"
	"testing"
	"time"

	"hemlockpin/connection/messenger"

	"github.com/stretchr/testify/require"
)

// TestInvalidPeerRecords guards against a peer's record with an invalid value that stops all calls to an
// endpoint, or that no later limit of the endpoint supersedes. The others must be kept.
func TestInvalidPeerRecords(t *testing.T) {
	sound := &messenger.LimitRecord{Endpoint: "sound", Sequence: 1, Rate: 2}
	for name, rec := range map[string]*messenger.LimitRecord{
		"rate no number":   {Endpoint: "invalid", Sequence: 1, Rate: math.NaN()},
		"rate infinite":    {Endpoint: "invalid", Sequence: 1, Rate: math.Inf(1)},
		"rate negative":    {Endpoint: "invalid", Sequence: 1, Rate: -1},
		"sequence at end":  {Endpoint: "invalid", Sequence: math.MaxUint64, Rate: 1},
		"without endpoint": {Sequence: 1, Rate: 1},
		"empty":            nil,
	} {
		t.Run(name, func(t *testing.T) {
			lims := FromMessages([]*messenger.LimitRecord{rec, sound})
			require.Equal(t, []Limit{{Endpoint: "sound", Sequence: 1, Rate: 2}}, lims)
		})
	}
}

// TestInvalidRates guards against a bucket that allows nothing any more after an invalid rate.
func TestInvalidRates(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, math.MaxFloat64} {
		now := time.Unix(1000, 0)
		buc := Bucket{}.WithFill(rate, now).WithFill(rate, now)
		require.Positive(t, buc.Wait(rate))
		require.LessOrEqual(t, buc.Wait(rate), time.Minute)
		buc = buc.WithFill(2, now.Add(time.Minute))
		require.True(t, buc.Allows(), rate)
	}
}
