package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hemlockpin/connection/persister"

	"github.com/stretchr/testify/require"
)

func start(t *testing.T, set Settings) (*persister.Persister, *Keeper) {
	kee := New(set)
	ser := httptest.NewServer(kee.Handler())
	t.Cleanup(ser.Close)
	return &persister.Persister{BaseURL: ser.URL}, kee
}

func control(t *testing.T, per *persister.Persister, method, path string, in, out any) {
	t.Helper()
	buf, err := json.Marshal(in)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), method, per.BaseURL+path, bytes.NewReader(buf))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusOK, res.StatusCode)
	if out != nil {
		require.NoError(t, json.NewDecoder(res.Body).Decode(out))
	}
}

var generousSettings = Settings{ReadRate: 1000, WriteRate: 1000, WeightRate: 2, MaxWatchers: 1}

// Each kind of one-shot fault is injected once, into the selected call only, and
// the call is applied or not as its kind says.
func TestOneShots(t *testing.T) {
	tests := []struct {
		kind    FaultKind
		err     bool
		applied bool
	}{
		{Refuse, true, false},
		{Drop, true, false},
		{LoseAnswer, true, true},
		{Slow, true, false},
		{SlowAnswer, true, true},
	}
	for _, tt := range tests {
		t.Run(string(tt.kind), func(t *testing.T) {
			per, _ := start(t, generousSettings)
			control(t, per, http.MethodPut, "/control/faults", Faults{OneShots: []OneShot{{Method: http.MethodPut, PathPrefix: "claims/", Skip: 1, Kind: tt.kind, SlowMs: 300}}}, nil)
			_, err := per.Put(t.Context(), persister.Object{Path: "claims/00"})
			require.NoError(t, err, "the first call is skipped")
			_, err = per.Put(t.Context(), persister.Object{Path: "tables/current"})
			require.NoError(t, err, "another path passes")
			ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer stop()
			_, err = per.Put(ctx, persister.Object{Path: "claims/01"})
			require.Equal(t, tt.err, err != nil)
			_, err = per.Get(t.Context(), "claims/01")
			require.Equal(t, tt.applied, err == nil)
			_, err = per.Put(t.Context(), persister.Object{Path: "claims/02"})
			require.NoError(t, err, "the fault is injected once")
		})
	}
}

// Too large values, failed preconditions and weight reads beyond the rate are
// refused.
func TestLimits(t *testing.T) {
	per, _ := start(t, generousSettings)
	_, err := per.Put(t.Context(), persister.Object{Path: "big", Value: make([]byte, persister.MaxValueBytes+1)})
	require.ErrorIs(t, err, persister.ErrTooLarge)
	version, err := per.Put(t.Context(), persister.Object{Path: "one", Value: []byte("a")})
	require.NoError(t, err)
	_, err = per.Put(t.Context(), persister.Object{Path: "one", Value: []byte("b")})
	require.ErrorIs(t, err, persister.ErrConflict)

	for range 2 {
		wei, err := per.Weights(t.Context(), "pedal-model", "7")
		require.NoError(t, err)
		require.Equal(t, "pedal-model", wei.Model)
		require.Equal(t, "7", wei.Version)
	}
	_, err = per.Weights(t.Context(), "pedal-model", "7")
	require.ErrorIs(t, err, persister.ErrRateLimited)

	var changes []Change
	control(t, per, http.MethodGet, "/control/changes/one", nil, &changes)
	require.Len(t, changes, 1)
	require.Equal(t, version, changes[0].Version)
}

// A watch counts as one read while it waits, and a watch beyond MaxWatchers is
// refused.
func TestWatchIsCounted(t *testing.T) {
	per, kee := start(t, generousSettings)
	done := make(chan []persister.Object, 1)
	go func() {
		objs, _ := per.Watch(context.Background(), "tables/", 0, time.Minute)
		done <- objs
	}()
	require.Eventually(t, func() bool {
		kee.mu.Lock()
		defer kee.mu.Unlock()
		return kee.counts.Waiting == 1
	}, 5*time.Second, time.Millisecond)
	_, err := per.Watch(t.Context(), "tables/", 0, time.Minute)
	require.ErrorIs(t, err, persister.ErrRateLimited, "beyond the limit of waiting watches")
	_, err = per.Put(t.Context(), persister.Object{Path: "tables/current", Value: []byte("x")})
	require.NoError(t, err)
	require.Len(t, <-done, 1)
	var counts Counts
	control(t, per, http.MethodGet, "/control/counts", nil, &counts)
	require.Equal(t, Counts{Reads: 2, Writes: 1, Watches: 1, Limited: 1}, counts)
}
