package detector

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDetector(t *testing.T) {
	steady, whole := 10*time.Second, 15*time.Second
	var fail error
	det := &Detector{Clocks: func() (time.Duration, time.Duration, error) { return steady, whole, fail }}
	now := time.Unix(1000, 0)
	pass := func(ste, who time.Duration) {
		steady, whole, now = steady+ste, whole+who, now.Add(ste)
	}
	look := func() time.Duration {
		sle, _ := det.Suspensions(now)
		return sle
	}
	require.Zero(t, look(), "suspensions before the start don't count")
	at := now
	pass(time.Second, time.Second+time.Millisecond)
	require.Zero(t, look())
	require.Equal(t, time.Second, det.Age(at, now))
	pass(time.Millisecond, 4*time.Second)
	require.InDelta(t, 4*time.Second, look(), float64(10*time.Millisecond))
	require.InDelta(t, 5*time.Second, det.Age(at, now), float64(10*time.Millisecond))
	require.Zero(t, det.Age(now, now), "what was true after the host woke is not older")
	pass(time.Second, time.Second)
	require.InDelta(t, 4*time.Second, look(), float64(10*time.Millisecond))
	fail = errors.New("no such clock")
	pass(0, time.Hour)
	require.InDelta(t, 4*time.Second, look(), float64(10*time.Millisecond))
}

func TestSystem(t *testing.T) {
	ste, who, err := SystemClocks()
	require.NoError(t, err)
	require.Positive(t, ste)
	require.GreaterOrEqual(t, who+least, ste)
	var det Detector
	sle, wok := det.Suspensions(time.Now())
	require.Zero(t, sle)
	require.Zero(t, wok)
}
