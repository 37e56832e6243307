package journaler

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

const (
	logRounds = 14
	// A round is long so that claims exceed their retention during a simulation.
	logRound    = 80 * time.Second
	logRingSize = 4
	// maxLogSkips bounds the calls of one kind at which a fault is injected, each in a
	// simulation of its own.
	maxLogSkips = 8
	// outageCalls is the number of consecutive calls of one kind that fail in an outage.
	outageCalls = 40
	// lapRounds is the number of changes by another writer that overwrites all entries
	// and segments.
	lapRounds = logRingSize * logRingSize
)

// The calls of a writer to the store at which a fault can be injected, and the kinds of
// faults:
//
//   - down: one call fails without effect.
//   - outage: outageCalls consecutive calls of the step fail without effect.
//   - refused: the store refuses the write because of its rate limit.
//   - lost: the write takes effect, but its answer is lost.
//   - late: the write takes effect at the end of the round.
//   - raced: another writer commits a change first.
//   - lapped: another writer overwrites all entries and segments first.
//   - die-before, die-after: the writer dies before or after the effect of the write; a
//     new writer replaces it.
//
// A read fails with all faults but raced and lapped.
var (
	logSteps      = []string{"read-head", "read-segment", "read-entry", "write-entry", "write-segment", "write-head"}
	logFaultKinds = []string{"down", "outage", "refused", "lost", "late", "raced", "lapped", "die-before", "die-after"}
)

func logCases() []string {
	var out []string
	for _, step := range logSteps {
		for _, fault := range logFaultKinds {
			out = append(out, step+"/"+fault)
		}
	}
	return out
}

// logFault is a fault that is injected at a call of a step. Its name is step/kind.
// callsLeft is the number of calls of the step before the fault; it becomes negative
// afterwards.
type logFault struct {
	name      string
	callsLeft int
}

// logSimulation simulates two writers of one shard over a store with faults. It compares
// what a reader finds with the content of the accepted entries.
type logSimulation struct {
	faultyStore
	t             *testing.T
	faults        []*logFault
	injectedCount int
	// callMu serialises the calls at which faults can be injected.
	callMu     sync.Mutex
	lateWrites []persister.Object
	writers    [2]*writer
	// model and seq are the content and the number of the accepted entries.
	model        Shard
	seq          uint64
	now          time.Time
	otherChanges int
	// confirmed counts the confirmed claims and finishes.
	confirmed [2]int
}

func newLogSimulation(t *testing.T, faults ...*logFault) *logSimulation {
	sim := &logSimulation{t: t, faults: faults, now: epoch, faultyStore: faultyStore{objects: map[string]persister.Object{}}}
	for i := range sim.writers {
		sim.writers[i] = sim.newWriter(sim)
	}
	return sim
}

func (sim *logSimulation) newWriter(sto ObjectStore) *writer {
	wri := newWriter(&Journal{Store: sto, Clock: func() time.Time { return sim.now }, ringSize: logRingSize}, 0)
	wri.limiter = rate.NewLimiter(rate.Inf, 1)
	return wri
}

// nextFault returns the fault to inject at a call, if any.
func (sim *logSimulation) nextFault(verb, path string) string {
	step := verb + "-entry"
	switch {
	case strings.HasSuffix(path, "base"):
		step = verb + "-head"
	case strings.Contains(path, "segment"):
		step = verb + "-segment"
	}
	for _, flt := range sim.faults {
		faultStep, fault, _ := strings.Cut(flt.name, "/")
		if faultStep != step {
			continue
		}
		flt.callsLeft--
		if flt.callsLeft == -1 || fault == "outage" && flt.callsLeft < 0 && flt.callsLeft >= -outageCalls {
			sim.injectedCount++
			return fault
		}
	}
	return ""
}

// runOtherWriter commits changes by another writer before a call, as if the calling
// writer were paused.
func (sim *logSimulation) runOtherWriter(fault string) {
	count := map[string]int{"raced": 1, "lapped": lapRounds}[fault]
	if count == 0 {
		return
	}
	other := sim.newWriter(faultlessStore{sim})
	for range count {
		sim.otherChanges++
		sim.commit(other, &messenger.ClaimCommit{Key: fmt.Sprintf("other%d", sim.otherChanges), Nonce: "other", KeyTimeMs: sim.now.UnixMilli()})
	}
}

// faultlessStore is the store of a simulation without faults.
type faultlessStore struct{ sim *logSimulation }

func (fst faultlessStore) Get(_ context.Context, path string) (persister.Object, error) {
	fst.sim.mu.Lock()
	defer fst.sim.mu.Unlock()
	obj, ok := fst.sim.objects[path]
	if !ok {
		return persister.Object{}, persister.ErrNotFound
	}
	return obj, nil
}

func (fst faultlessStore) Put(_ context.Context, obj persister.Object) (uint64, error) {
	fst.sim.mu.Lock()
	defer fst.sim.mu.Unlock()
	return fst.sim.putAndRecord(obj)
}

func (sim *logSimulation) Get(ctx context.Context, path string) (persister.Object, error) {
	sim.callMu.Lock()
	defer sim.callMu.Unlock()
	fault := sim.nextFault("read", path)
	sim.runOtherWriter(fault)
	if fault != "" && fault != "raced" && fault != "lapped" {
		return persister.Object{}, persister.ErrUnavailable
	}
	return faultlessStore{sim}.Get(ctx, path)
}

func (sim *logSimulation) Put(ctx context.Context, obj persister.Object) (uint64, error) {
	sim.callMu.Lock()
	defer sim.callMu.Unlock()
	fault := sim.nextFault("write", obj.Path)
	sim.runOtherWriter(fault)
	switch fault {
	case "down", "outage", "die-before":
		return 0, persister.ErrUnavailable
	case "refused":
		return 0, persister.ErrRateLimited
	case "late":
		sim.lateWrites = append(sim.lateWrites, obj)
		return 0, context.DeadlineExceeded
	}
	version, err := faultlessStore{sim}.Put(ctx, obj)
	if fault == "lost" || fault == "die-after" {
		return 0, context.DeadlineExceeded
	}
	return version, err
}

// putAndRecord carries out a write and records the entries in their order.
func (sim *logSimulation) putAndRecord(obj persister.Object) (uint64, error) {
	version, err := sim.put(obj)
	if err != nil || strings.Contains(obj.Path, "segment") || strings.HasSuffix(obj.Path, "base") {
		return version, err
	}
	ent, decodeErr := decodeEntry(obj.Value)
	require.NoError(sim.t, decodeErr)
	require.Equal(sim.t, sim.seq+1, ent.seq, "one writer writes each entry")
	sim.seq = ent.seq
	sim.model.apply(ent.delta)
	return version, nil
}

// commit commits one change without pauses between attempts.
func (sim *logSimulation) commit(wri *writer, com *messenger.ClaimCommit) messenger.ClaimResult_State {
	bat := NewBatch([]*messenger.ClaimCommit{com}, &wri.log.shard, wri.log.seq, wri.log.loaded())
	var eve Event = Started{}
	for try := 0; ; try++ {
		next, act := bat.Next(eve, sim.now)
		bat = next
		if ans, ok := act.(Answer); ok {
			wri.compact()
			return ans.Results[0].GetState()
		}
		eve = wri.execute(context.Background(), act)
		if try > 8 {
			eve = Expired{}
		}
	}
}

// run claims and finishes one key a round, with both writers in changing combinations.
// A writer that dies is replaced.
func (sim *logSimulation) run() {
	for round := range logRounds {
		sim.now = epoch.Add(time.Duration(round) * logRound)
		com := &messenger.ClaimCommit{Key: fmt.Sprintf("key%d", round), Nonce: "n", KeyTimeMs: sim.now.UnixMilli()}
		for i, step := range []messenger.ClaimCommit_Step{messenger.ClaimCommit_STEP_CLAIM, messenger.ClaimCommit_STEP_FINISH} {
			com = &messenger.ClaimCommit{Step: step, Key: com.Key, Nonce: com.Nonce, KeyTimeMs: com.KeyTimeMs, Outcome: &messenger.Outcome{Status: 200}}
			before := sim.injectedCount
			sta := sim.commit(sim.writers[(round/3+i*round/3)%2], com)
			if sta == messenger.ClaimResult_STATE_COMMITTED || sta == messenger.ClaimResult_STATE_FINISHED {
				sim.confirmed[i]++
				require.Contains(sim.t, sim.model.claims, com.Key, "told a commit that is not in the log")
			}
			if sim.injectedCount > before && strings.Contains(sim.faults[0].name, "die") {
				sim.writers[(round/3+i*round/3)%2] = sim.newWriter(sim)
			}
		}
		for _, obj := range sim.lateWrites {
			_, _ = faultlessStore{sim}.Put(context.Background(), obj)
		}
		sim.lateWrites = nil
		if round%7 == 6 {
			sim.checkReader()
		}
	}
}

// checkReader checks that a new reader finds the content of the accepted entries.
func (sim *logSimulation) checkReader() {
	wri := sim.newWriter(faultlessStore{sim})
	require.NoError(sim.t, wri.log.load(context.Background()))
	require.Equal(sim.t, sim.seq, wri.log.seq)
	require.Equal(sim.t, formatShard(&sim.model), formatShard(&wri.log.shard))
}

// TestLogMatrix checks that no confirmed commit is lost and that readers find exactly
// the accepted entries. It injects every fault at each of the first maxLogSkips calls
// of a step, and every pair of faults at one place each.
func TestLogMatrix(t *testing.T) {
	var cases []string
	datadriven.RunTest(t, "testdata/matrix/log", func(t *testing.T, td *datadriven.TestData) string {
		cases = append(cases, td.Cmd)
		count, confirmed := 0, [2]int{}
		for skip := range maxLogSkips {
			sim := newLogSimulation(t, &logFault{td.Cmd, skip})
			sim.run()
			if sim.injectedCount == 0 {
				break
			}
			count++
			confirmed[0] += sim.confirmed[0]
			confirmed[1] += sim.confirmed[1]
		}
		var wg sync.WaitGroup
		for i, secondFault := range logCases() {
			wg.Go(func() { newLogSimulation(t, &logFault{td.Cmd, i % 5}, &logFault{secondFault, i % 3}).run() })
		}
		wg.Wait()
		return fmt.Sprintf("struck=%d claims=%d finishes=%d of %d\n", count, confirmed[0], confirmed[1], count*logRounds)
	})
	require.Equal(t, logCases(), cases, "the data file has each case once")
}

// TestOldFormatIsRefused checks that a store with the base object of format 1 is
// refused and not taken for an empty shard.
func TestOldFormatIsRefused(t *testing.T) {
	sim := newLogSimulation(t)
	// The value is a sequence number and an empty shard.
	_, err := sim.put(persister.Object{Path: "claims/00/base", Value: []byte{1 << 3, 40, 2<<3 | 2, 0}})
	require.NoError(t, err)
	require.ErrorIs(t, sim.writers[0].log.load(t.Context()), errFormat)
	sta := sim.commit(sim.writers[0], &messenger.ClaimCommit{Key: "key", Nonce: "n", KeyTimeMs: epoch.UnixMilli()})
	require.Equal(t, messenger.ClaimResult_STATE_NOT_COMMITTED, sta)
}
