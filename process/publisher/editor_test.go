package publisher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hemlockpin/version/parser"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// storeSteps are the store calls of an edit. ReadBack is the first read after the
// write.
var storeSteps = []string{"Read", "Keep", "Write", "ReadBack"}

// stepOf returns the step to which a store call of an edit belongs.
func stepOf(call string, wrote *bool) string {
	switch {
	case call == "Write "+TablesPath:
		*wrote = true
		return "Write"
	case call == "Read "+TablesPath && *wrote:
		return "ReadBack"
	case call == "Read "+TablesPath:
		return "Read"
	case strings.HasPrefix(call, "Write "+historyPath):
		return "Keep"
	default:
		return "Other"
	}
}

// runEdit runs one edit in which each fault occurs once at its step. It returns a line with
// the result and whether the store holds the edit.
func runEdit(t *testing.T, faultsByStep map[string]fault) string {
	var out string
	synctest.Test(t, func(t *testing.T) {
		sto := &fakeStore{}
		pub := &Publisher{Store: sto}
		for rev := range uint64(2) {
			_, err := pub.Edit(t.Context(), parser.Tables{}, rev, time.Now())
			require.NoError(t, err)
		}
		pendingFaults := map[string]fault{}
		for step, fau := range faultsByStep {
			pendingFaults[step] = fau
		}
		wrote := false
		sto.choose = func(call string) fault {
			step := stepOf(call, &wrote)
			fau, ok := pendingFaults[step]
			if !ok {
				return faultNone
			}
			delete(pendingFaults, step)
			return fau
		}
		start := time.Now()
		fin, err := pub.Edit(t.Context(), parser.Tables{Pools: []parser.Pool{{Name: "mine", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "x"}}}}, 2, time.Now())
		require.LessOrEqual(t, time.Since(start), editTimeout+storeCallTimeout, "the operator gets an answer in time")
		require.Equal(t, fin.Result == Accepted, err == nil)
		time.Sleep(time.Minute)
		synctest.Wait()
		sto.mu.Lock()
		stored := slices.ContainsFunc(sto.accepted, func(edi parser.Edit) bool { return edi.Nonce != "foreign" && edi.Revision == 3 })
		revs := sto.accepted
		sto.mu.Unlock()
		for i, edi := range revs {
			require.Equal(t, uint64(i+1), edi.Revision)
		}
		switch fin.Result {
		case Accepted:
			require.True(t, stored, "an accepted edit must be in the store")
		case Raced, NotAccepted:
			require.False(t, stored, "an edit that changed nothing must not be in the store")
		}
		out = fmt.Sprintf("%s, stored %t", fin.Result, stored)
	})
	return out
}

// TestEditFaults runs an edit under each fault at each store call, and under each pair of
// faults at different calls. An edit that is reported as accepted must be stored, and one
// that is reported as Raced or NotAccepted must not. The data file has a directive for each
// first fault.
func TestEditFaults(t *testing.T) {
	seen := map[string]bool{}
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, dat *datadriven.TestData) string {
		var step, fau string
		dat.ScanArgs(t, "step", &step)
		dat.ScanArgs(t, "fault", &fau)
		seen[step+fau] = true
		var out strings.Builder
		fmt.Fprintf(&out, "alone: %s\n", runEdit(t, map[string]fault{step: fault(fau)}))
		for _, later := range storeSteps[slices.Index(storeSteps, step)+1:] {
			for _, second := range faults {
				fmt.Fprintf(&out, "%s %s: %s\n", later, second, runEdit(t, map[string]fault{step: fault(fau), later: second}))
			}
		}
		return out.String()
	})
	for _, step := range storeSteps {
		for _, fau := range faults {
			require.True(t, seen[step+string(fau)], "no cell for %s at %s", fau, step)
		}
	}
}

type editInput struct{ base uint64 }

// register models the tables as a compare-and-set register of revisions. An edit with
// an unknown result may or may not have taken effect.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		rev, edit, res := state.(uint64), input.(editInput), output.(Result)
		same := rev == edit.base
		switch {
		case res == Accepted && same:
			return []any{rev + 1}
		case res == Raced && rev > edit.base, res == NotAccepted:
			return []any{rev}
		case res == Unknown && same:
			return []any{rev, rev + 1}
		case res == Unknown:
			return []any{rev}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestEditHistories lets operators race on several hosts under random faults and
// checks that the history is linearizable as that of a compare-and-set register.
func TestEditHistories(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) }) })
	}
}

func raceOperators(t *testing.T, seed uint64) {
	const hosts, edits = 3, 8
	var mu sync.Mutex
	ran := rand.New(rand.NewPCG(seed, 1))
	sto := &fakeStore{delay: randomDelay(rand.New(rand.NewPCG(seed, 2)))}
	sto.choose = func(call string) fault {
		mu.Lock()
		defer mu.Unlock()
		if ran.IntN(4) > 0 {
			return faultNone
		}
		fau := faults[ran.IntN(len(faults))]
		if fau == faultOutage || fau == faultForeignBefore || fau == faultForeignAfter {
			return faultRefused
		}
		return fau
	}
	var ops []porcupine.Operation
	var gro sync.WaitGroup
	start := time.Now()
	for host := range hosts {
		gro.Go(func() {
			pub := &Publisher{Store: sto}
			last := uint64(0)
			for range edits {
				ctx, stop := context.WithTimeout(context.Background(), storeCallTimeout)
				_ = pub.Refresh(ctx, time.Now())
				stop()
				base := pub.Current().Revision()
				require.GreaterOrEqual(t, base, last, "a host never goes back")
				last = base
				called := time.Since(start)
				fin, _ := pub.Edit(context.Background(), parser.Tables{}, base, time.Now())
				returned := time.Since(start)
				if fin.Result == Unknown {
					returned = time.Hour
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{ClientId: host, Input: editInput{base: base}, Call: int64(called), Output: fin.Result, Return: int64(returned)})
				mu.Unlock()
			}
		})
	}
	gro.Wait()
	model := register.ToModel()
	require.True(t, porcupine.CheckOperations(model, ops), "seed %d: %+v", seed, ops)
}
