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

// storeSteps are the calls of the store that an edit makes. ReadBack stands for
// the first read after the write.
var storeSteps = []string{"Read", "Keep", "Write", "ReadBack"}

// stepOf tells the calls of an edit apart.
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

// runEdit runs one edit under faults, each of which strikes once, and tells how
// it ended and whether it was in fact accepted.
func runEdit(t *testing.T, plan map[string]fault) string {
	var out string
	synctest.Test(t, func(t *testing.T) {
		sto := &fakeStore{}
		pub := &Publisher{Store: sto}
		for rev := range uint64(2) {
			_, err := pub.Edit(t.Context(), parser.Tables{}, rev, time.Now())
			require.NoError(t, err)
		}
		left := map[string]fault{}
		for ste, fau := range plan {
			left[ste] = fau
		}
		wrote := false
		sto.choose = func(call string) fault {
			ste := stepOf(call, &wrote)
			fau, ok := left[ste]
			if !ok {
				return faultNone
			}
			delete(left, ste)
			return fau
		}
		beg := time.Now()
		fin, err := pub.Edit(t.Context(), parser.Tables{Pools: []parser.Pool{{Name: "mine", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "x"}}}}, 2, time.Now())
		require.LessOrEqual(t, time.Since(beg), editTimeout+stepTimeout, "the operator gets an answer in time")
		require.Equal(t, fin.Result == Accepted, err == nil)
		time.Sleep(time.Minute)
		synctest.Wait()
		sto.mu.Lock()
		acc := slices.ContainsFunc(sto.log, func(edi parser.Edit) bool { return edi.Nonce != "foreign" && edi.Revision == 3 })
		revs := sto.log
		sto.mu.Unlock()
		for ind, edi := range revs {
			require.Equal(t, uint64(ind+1), edi.Revision)
		}
		switch fin.Result {
		case Accepted:
			require.True(t, acc, "accepted must stand in the store")
		case Raced, NotAccepted:
			require.False(t, acc, "an edit that changed nothing must not stand in the store")
		}
		out = fmt.Sprintf("%s, stored %t", fin.Result, acc)
	})
	return out
}

// TestEditFaults runs an edit under every fault at every step, and under every
// pair of them. The data file holds a directive for each first fault.
func TestEditFaults(t *testing.T) {
	see := map[string]bool{}
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, dat *datadriven.TestData) string {
		var ste, fau string
		dat.ScanArgs(t, "step", &ste)
		dat.ScanArgs(t, "fault", &fau)
		see[ste+fau] = true
		var bui strings.Builder
		fmt.Fprintf(&bui, "alone: %s\n", runEdit(t, map[string]fault{ste: fault(fau)}))
		for _, lat := range storeSteps[slices.Index(storeSteps, ste)+1:] {
			for _, two := range faults {
				fmt.Fprintf(&bui, "%s %s: %s\n", lat, two, runEdit(t, map[string]fault{ste: fault(fau), lat: two}))
			}
		}
		return bui.String()
	})
	for _, ste := range storeSteps {
		for _, fau := range faults {
			require.True(t, see[ste+string(fau)], "no cell for %s at %s", fau, ste)
		}
	}
}

type editInput struct{ base uint64 }

// register is the tables as a compare-and-set register of revisions. An edit of
// unknown result may or may not have taken effect.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(sta, inp, out any) []any {
		rev, inn, res := sta.(uint64), inp.(editInput), out.(Result)
		same := rev == inn.base
		switch {
		case res == Accepted && same:
			return []any{rev + 1}
		case res == Raced && rev > inn.base, res == NotAccepted:
			return []any{rev}
		case res == Unknown && same:
			return []any{rev, rev + 1}
		case res == Unknown:
			return []any{rev}
		default:
			return nil
		}
	},
	Equal: func(one, two any) bool { return one == two },
}

// TestEditHistories lets operators race over several hosts under random faults,
// and checks that the history is one of a compare-and-set register.
func TestEditHistories(t *testing.T) {
	for see := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", see), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { raceOperators(t, see) }) })
	}
}

func raceOperators(t *testing.T, see uint64) {
	const hosts, edits = 3, 8
	var mu sync.Mutex
	ran := rand.New(rand.NewPCG(see, 1))
	sto := &fakeStore{delay: randomDelay(rand.New(rand.NewPCG(see, 2)))}
	sto.choose = func(call string) fault {
		mu.Lock()
		defer mu.Unlock()
		if ran.IntN(4) > 0 {
			return faultNone
		}
		fau := faults[ran.IntN(len(faults))]
		if fau == faultOutage || fau == faultForeign || fau == faultOnTop {
			return faultRefuse
		}
		return fau
	}
	var ops []porcupine.Operation
	var gro sync.WaitGroup
	beg := time.Now()
	for hos := range hosts {
		gro.Go(func() {
			pub := &Publisher{Store: sto}
			last := uint64(0)
			for range edits {
				ctx, stop := context.WithTimeout(context.Background(), stepTimeout)
				_ = pub.Refresh(ctx, time.Now())
				stop()
				bas := pub.Current().Revision()
				require.GreaterOrEqual(t, bas, last, "a host never goes back")
				last = bas
				cal := time.Since(beg)
				fin, _ := pub.Edit(context.Background(), parser.Tables{}, bas, time.Now())
				ret := time.Since(beg)
				if fin.Result == Unknown {
					ret = time.Hour
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{ClientId: hos, Input: editInput{base: bas}, Call: int64(cal), Output: fin.Result, Return: int64(ret)})
				mu.Unlock()
			}
		})
	}
	gro.Wait()
	mod := register.ToModel()
	require.True(t, porcupine.CheckOperations(mod, ops), "seed %d: %+v", see, ops)
}
