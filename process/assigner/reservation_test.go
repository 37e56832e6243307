package assigner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hemlockpin/process/planner"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestReservationUse follows the reports of an engine on the memory of one request. Each line of
// the input is a time in ms and the state in the report.
func TestReservationUse(t *testing.T) {
	datadriven.RunTest(t, "testdata/reservations", func(t *testing.T, dat *datadriven.TestData) string {
		start := time.Unix(1000, 0)
		use := reservationUse{since: start}
		var out strings.Builder
		for line := range strings.SplitSeq(dat.Input, "\n") {
			var at int
			var state string
			_, err := fmt.Sscan(line, &at, &state)
			require.NoError(t, err)
			ress := []planner.Reservation{{ID: "other", Used: true}}
			if state != "absent" {
				ress = append(ress, planner.Reservation{ID: "own", Used: state == "used"})
			}
			use = use.WithReport(ress, "own")
			fmt.Fprintf(&out, "%d: ended %t, doubtful %t\n", at, use.Ended(start.Add(time.Duration(at)*time.Millisecond)), use.Doubtful())
		}
		return out.String()
	})
}

// lostAnswerEngine is an engine whose reservation is in use for some reports and then no more,
// as when it has run a request and its answer was lost.
type lostAnswerEngine struct {
	mu       sync.Mutex
	used     int
	reserved int
	released chan struct{}
}

func (eng *lostAnswerEngine) Reserve(context.Context, string, string, int64, time.Duration) (bool, error) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.reserved++
	return true, nil
}

func (eng *lostAnswerEngine) Release(context.Context, string, string) error {
	eng.released <- struct{}{}
	return nil
}

func (eng *lostAnswerEngine) Load(context.Context, string) (planner.Load, error) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.used--
	if eng.used == 1 {
		return planner.Load{}, errors.New("no report")
	}
	return planner.Load{Reservations: []planner.Reservation{{ID: "own", Used: eng.used > 0}}}, nil
}

// TestRenewalEnds guards against reservations that are renewed after the run of their request
// has ended, because its answer was lost: the memory is released while the call still waits.
func TestRenewalEnds(t *testing.T) {
	eng := &lostAnswerEngine{used: 3, released: make(chan struct{}, 8)}
	ass := &Assigner{Reserver: eng, Clock: time.Now, Log: zerolog.Nop()}
	stop, _ := ass.renew([]planner.Part{{Endpoint: "helper"}, {Endpoint: "e", Address: "e", Reserve: 5}}, "own")
	select {
	case <-eng.released:
	case <-time.After(20 * time.Second):
		require.Fail(t, "the reservation is still renewed")
	}
	eng.mu.Lock()
	renewed := eng.reserved
	eng.mu.Unlock()
	require.Positive(t, renewed, "it is renewed while it is in use")
	stop()
	require.Equal(t, renewed, eng.reserved)
	require.Empty(t, slices.Collect(func(yield func(struct{}) bool) {
		for len(eng.released) > 0 && yield(<-eng.released) {
		}
	}), "it is released once")
}

// silentEngine gives the same report again and again, or an error.
type silentEngine struct {
	report   planner.Load
	err      error
	released atomic.Int64
}

func (eng *silentEngine) Reserve(context.Context, string, string, int64, time.Duration) (bool, error) {
	return true, nil
}

func (eng *silentEngine) Release(context.Context, string, string) error {
	eng.released.Add(1)
	return nil
}

func (eng *silentEngine) Load(context.Context, string) (planner.Load, error) {
	return eng.report, eng.err
}

// TestUnknownUse guards against memory that is released under a call that runs, because the reports do
// not say whether it is in use.
func TestUnknownUse(t *testing.T) {
	own := func(res planner.Reservation) planner.Load {
		res.ID = "own"
		return planner.Load{Reservations: []planner.Reservation{res}}
	}
	tests := map[string]struct {
		eng      *silentEngine
		released int
	}{
		"no list of reservations": {&silentEngine{report: planner.Load{NoReservations: true}}, 0},
		"a state that is unknown": {&silentEngine{report: own(planner.Reservation{Unknown: true})}, 0},
		"no report":               {&silentEngine{err: errors.New("no report")}, 0},
		"in use":                  {&silentEngine{report: own(planner.Reservation{Used: true})}, 0},
		"not in use":              {&silentEngine{report: own(planner.Reservation{})}, 1},
		"none":                    {&silentEngine{}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ass := &Assigner{Reserver: tt.eng, Clock: time.Now, Log: zerolog.Nop()}
				stop, _ := ass.renew([]planner.Part{{Endpoint: "e", Address: "e", Reserve: 5}}, "own")
				time.Sleep(20 * time.Second)
				stop()
				synctest.Wait()
				require.EqualValues(t, tt.released, tt.eng.released.Load())
			})
		})
	}
}

// lossyEngines run a request and lose its answer. Their reports are as the engines were when they
// were asked.
type lossyEngines struct {
	mu sync.Mutex
	// ends is when the run ends.
	ends time.Time
	// delay is the time that a report takes, by the engine's address and the number of its report
	// from 0; negative for a report that can't be read.
	delay    func(address string, n int) time.Duration
	reports  map[string]int
	lapses   map[string]time.Time
	released map[string]time.Time
}

func (eng *lossyEngines) Reserve(_ context.Context, address, _ string, _ int64, hold time.Duration) (bool, error) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.lapses[address] = time.Now().Add(hold)
	return true, nil
}

func (eng *lossyEngines) Release(_ context.Context, address, _ string) error {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.released[address] = time.Now()
	return nil
}

func (eng *lossyEngines) Load(ctx context.Context, address string) (planner.Load, error) {
	eng.mu.Lock()
	loa := planner.Load{Reservations: []planner.Reservation{{ID: "own", Used: time.Now().Before(eng.ends)}}}
	n := eng.reports[address]
	eng.reports[address]++
	eng.mu.Unlock()
	delay := eng.delay(address, n)
	if delay < 0 {
		return planner.Load{}, errors.New("no report")
	}
	select {
	case <-time.After(delay):
		return loa, nil
	case <-ctx.Done():
		return planner.Load{}, ctx.Err()
	}
}

// TestLossIsTold guards against memory that stays set aside after the run of a request whose answer
// is lost, and against a send that isn't told of it, also if reports come late or not at all. While
// the run lasts, the memory must not lapse.
func TestLossIsTold(t *testing.T) {
	const freeLimit = 4 * time.Second
	always := func(delay time.Duration) func(string, int) time.Duration {
		return func(string, int) time.Duration { return delay }
	}
	tests := map[string]func(address string, n int) time.Duration{
		"prompt reports":           always(2 * time.Millisecond),
		"reports of 300 ms":        always(300 * time.Millisecond),
		"reports of 700 ms":        always(700 * time.Millisecond),
		"reports of 850 ms":        always(850 * time.Millisecond),
		"the first engine is dark": func(address string, _ int) time.Duration { return map[string]time.Duration{"a": time.Hour}[address] },
		"the first engine refuses": func(address string, _ int) time.Duration { return map[string]time.Duration{"a": -1}[address] },
		"each second report fails": func(_ string, n int) time.Duration { return time.Duration(-(n % 2)) },
	}
	for name, delay := range tests {
		t.Run(name, func(t *testing.T) {
			for runTime := 700 * time.Millisecond; runTime < 7*time.Second; runTime += 170 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					start := time.Now()
					eng := &lossyEngines{ends: start.Add(runTime), delay: delay, reports: map[string]int{}, lapses: map[string]time.Time{}, released: map[string]time.Time{}}
					ass := &Assigner{Reserver: eng, Clock: time.Now, Log: zerolog.Nop()}
					var pars []planner.Part
					for _, address := range []string{"a", "b", "c"} {
						pars = append(pars, planner.Part{Endpoint: address, Address: address, Reserve: 5})
						eng.lapses[address] = start.Add(reservationHold)
					}
					stop, lost := ass.renew(pars, "own")
					for time.Now().Before(eng.ends) {
						time.Sleep(50 * time.Millisecond)
						eng.mu.Lock()
						for address, at := range eng.lapses {
							require.True(t, at.After(time.Now()), "the memory on %s lapses during the run, after %s", address, time.Since(start))
						}
						require.Empty(t, eng.released)
						eng.mu.Unlock()
					}
					select {
					case los := <-lost:
						require.True(t, los.Ran)
					case <-time.After(freeLimit):
						require.Fail(t, "the loss is not told")
					}
					synctest.Wait()
					require.Len(t, eng.released, len(pars))
					for _, at := range eng.released {
						require.Less(t, at.Sub(eng.ends), freeLimit)
					}
					require.True(t, stop(), "it is not released again")
				})
			}
		})
	}
}
