package detector

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSuspensionsAddUp checks that a suspension adds to the age of data from before it
// and of no other data, and that clocks that cannot be read change nothing.
func TestSuspensionsAddUp(t *testing.T) {
	monotonic, boot := 10*time.Second, 15*time.Second
	var clockErr error
	det := &Detector{Clocks: func() (time.Duration, time.Duration, error) { return monotonic, boot, clockErr }}
	now := time.Unix(1000, 0)
	advance := func(dMonotonic, dBoot time.Duration) {
		monotonic, boot, now = monotonic+dMonotonic, boot+dBoot, now.Add(dMonotonic)
	}
	suspendedTime := func() time.Duration {
		suspended, _ := det.Suspensions(now)
		return suspended
	}
	require.Zero(t, suspendedTime(), "suspensions before the start don't count")
	at := now
	advance(time.Second, time.Second+time.Millisecond)
	require.Zero(t, suspendedTime())
	require.Equal(t, time.Second, det.Age(at, now))
	advance(time.Millisecond, 4*time.Second)
	require.InDelta(t, 4*time.Second, suspendedTime(), float64(10*time.Millisecond))
	require.InDelta(t, 5*time.Second, det.Age(at, now), float64(10*time.Millisecond))
	require.Zero(t, det.Age(now, now), "data that is newer than the suspension does not age by it")
	advance(time.Second, time.Second)
	require.InDelta(t, 4*time.Second, suspendedTime(), float64(10*time.Millisecond))
	clockErr = errors.New("no such clock")
	advance(0, time.Hour)
	require.InDelta(t, 4*time.Second, suspendedTime(), float64(10*time.Millisecond))
}

func TestSystemClocks(t *testing.T) {
	monotonic, boot, err := SystemClocks()
	require.NoError(t, err)
	require.Positive(t, monotonic)
	require.GreaterOrEqual(t, boot+minSuspension, monotonic)
	var det Detector
	suspended, resumedAt := det.Suspensions(time.Now())
	require.Zero(t, suspended)
	require.Zero(t, resumedAt)
}
