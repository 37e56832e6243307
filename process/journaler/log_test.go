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
	// A round is long, so that claims pass their retention within a trial.
	logRound = 80 * time.Second
	logRing  = 4
	// logSkips bounds the calls of one kind that are struck.
	logSkips = 8
	// logOutage is the number of calls of one kind that an outage strikes.
	logOutage = 40
	// lapRounds of another writer overwrite all entries and segments.
	lapRounds = logRing * logRing
)

// The calls of the store by a writer at which a fault can strike.
var (
	logSteps  = []string{"read-head", "read-segment", "read-entry", "write-entry", "write-segment", "write-head"}
	logFaults = []string{"down", "outage", "refused", "lost", "late", "raced", "lapped", "die-before", "die-after"}
)

func logCells() []string {
	var out []string
	for _, ste := range logSteps {
		for _, fau := range logFaults {
			out = append(out, ste+"/"+fau)
		}
	}
	return out
}

// hit is a fault at a call after some of its kind.
type hit struct {
	cell string
	skip int
}

// logTrial has two writers of one shard over a store with faults, and compares
// what a reader finds with what the accepted entries say.
type logTrial struct {
	shakyStore
	t      *testing.T
	hits   []*hit
	struck int
	// turn orders the calls that faults can strike.
	turn    sync.Mutex
	late    []persister.Object
	writers [2]*writer
	model   Shard
	seq     uint64
	now     time.Time
	extra   int
	told    [2]int
}

func newLogTrial(t *testing.T, hits ...*hit) *logTrial {
	tri := &logTrial{t: t, hits: hits, now: epoch, shakyStore: shakyStore{objects: map[string]persister.Object{}}}
	for ind := range tri.writers {
		tri.writers[ind] = tri.newWriter(tri)
	}
	return tri
}

func (tri *logTrial) newWriter(sto ObjectStore) *writer {
	wri := newWriter(&Journal{Store: sto, Clock: func() time.Time { return tri.now }, ring: logRing}, 0)
	wri.limiter = rate.NewLimiter(rate.Inf, 1)
	return wri
}

// fault returns the fault that strikes a call, if any.
func (tri *logTrial) fault(verb, path string) string {
	ste := verb + "-entry"
	switch {
	case strings.HasSuffix(path, "base"):
		ste = verb + "-head"
	case strings.Contains(path, "segment"):
		ste = verb + "-segment"
	}
	for _, one := range tri.hits {
		on, fau, _ := strings.Cut(one.cell, "/")
		if on != ste {
			continue
		}
		one.skip--
		if one.skip == -1 || fau == "outage" && one.skip < 0 && one.skip >= -logOutage {
			tri.struck++
			return fau
		}
	}
	return ""
}

// before lets others work before a call, as if its writer were paused.
func (tri *logTrial) before(fau string) {
	cou := map[string]int{"raced": 1, "lapped": lapRounds}[fau]
	if cou == 0 {
		return
	}
	oth := tri.newWriter(calmStore{tri})
	for range cou {
		tri.extra++
		tri.drive(oth, &messenger.ClaimCommit{Key: fmt.Sprintf("other%d", tri.extra), Nonce: "other", KeyTimeMs: tri.now.UnixMilli()})
	}
}

// calmStore is the store of a trial without faults.
type calmStore struct{ tri *logTrial }

func (cal calmStore) Get(_ context.Context, path string) (persister.Object, error) {
	cal.tri.mu.Lock()
	defer cal.tri.mu.Unlock()
	obj, ok := cal.tri.objects[path]
	if !ok {
		return persister.Object{}, persister.ErrNotFound
	}
	return obj, nil
}

func (cal calmStore) Put(_ context.Context, obj persister.Object) (uint64, error) {
	cal.tri.mu.Lock()
	defer cal.tri.mu.Unlock()
	return cal.tri.land(obj)
}

func (tri *logTrial) Get(ctx context.Context, path string) (persister.Object, error) {
	tri.turn.Lock()
	defer tri.turn.Unlock()
	fau := tri.fault("read", path)
	tri.before(fau)
	if fau != "" && fau != "raced" && fau != "lapped" {
		return persister.Object{}, persister.ErrUnavailable
	}
	return calmStore{tri}.Get(ctx, path)
}

func (tri *logTrial) Put(ctx context.Context, obj persister.Object) (uint64, error) {
	tri.turn.Lock()
	defer tri.turn.Unlock()
	fau := tri.fault("write", obj.Path)
	tri.before(fau)
	switch fau {
	case "down", "outage", "die-before":
		return 0, persister.ErrUnavailable
	case "refused":
		return 0, persister.ErrRateLimited
	case "late":
		tri.late = append(tri.late, obj)
		return 0, context.DeadlineExceeded
	}
	ver, err := calmStore{tri}.Put(ctx, obj)
	if fau == "lost" || fau == "die-after" {
		return 0, context.DeadlineExceeded
	}
	return ver, err
}

// land carries a write out and notes the entries in their order.
func (tri *logTrial) land(obj persister.Object) (uint64, error) {
	ver, err := tri.put(obj)
	if err != nil || strings.Contains(obj.Path, "segment") || strings.HasSuffix(obj.Path, "base") {
		return ver, err
	}
	ent, dec := decodeEntry(obj.Value)
	require.NoError(tri.t, dec)
	require.Equal(tri.t, tri.seq+1, ent.seq, "one writer writes each entry")
	tri.seq = ent.seq
	tri.model.take(ent.delta)
	return ver, nil
}

// drive commits one change without pauses between the tries.
func (tri *logTrial) drive(wri *writer, com *messenger.ClaimCommit) messenger.ClaimResult_State {
	bat := NewBatch([]*messenger.ClaimCommit{com}, &wri.log.shard, wri.log.seq, wri.log.known())
	var eve Event = Started{}
	for try := 0; ; try++ {
		nex, act := bat.Next(eve, tri.now)
		bat = nex
		if ans, ok := act.(Answer); ok {
			wri.shorten()
			return ans.Results[0].GetState()
		}
		eve = wri.carryOut(context.Background(), act)
		if try > 8 {
			eve = Expired{}
		}
	}
}

// run has the writers claim and finish keys in turn. A writer that dies is
// replaced.
func (tri *logTrial) run() {
	for rou := range logRounds {
		tri.now = epoch.Add(time.Duration(rou) * logRound)
		com := &messenger.ClaimCommit{Key: fmt.Sprintf("key%d", rou), Nonce: "n", KeyTimeMs: tri.now.UnixMilli()}
		for ind, ste := range []messenger.ClaimCommit_Step{messenger.ClaimCommit_STEP_CLAIM, messenger.ClaimCommit_STEP_FINISH} {
			com = &messenger.ClaimCommit{Step: ste, Key: com.Key, Nonce: com.Nonce, KeyTimeMs: com.KeyTimeMs, Outcome: &messenger.Outcome{Status: 200}}
			was := tri.struck
			sta := tri.drive(tri.writers[(rou/3+ind*rou/3)%2], com)
			if sta == messenger.ClaimResult_STATE_COMMITTED || sta == messenger.ClaimResult_STATE_FINISHED {
				tri.told[ind]++
				require.Contains(tri.t, tri.model.claims, com.Key, "told a commit that is not in the log")
			}
			if tri.struck > was && strings.Contains(tri.hits[0].cell, "die") {
				tri.writers[(rou/3+ind*rou/3)%2] = tri.newWriter(tri)
			}
		}
		for _, obj := range tri.late {
			_, _ = calmStore{tri}.Put(context.Background(), obj)
		}
		tri.late = nil
		if rou%7 == 6 {
			tri.check()
		}
	}
}

// check has a new reader find what the accepted entries say.
func (tri *logTrial) check() {
	wri := tri.newWriter(calmStore{tri})
	require.NoError(tri.t, wri.log.load(context.Background()))
	require.Equal(tri.t, tri.seq, wri.log.seq)
	require.Equal(tri.t, formatShard(&tri.model), formatShard(&wri.log.shard))
}

// TestLogMatrix plays every fault at every call of a writer to the store, and
// every two faults together.
func TestLogMatrix(t *testing.T) {
	var cels []string
	datadriven.RunTest(t, "testdata/matrix/log", func(t *testing.T, td *datadriven.TestData) string {
		cels = append(cels, td.Cmd)
		cou, told := 0, [2]int{}
		for skip := range logSkips {
			tri := newLogTrial(t, &hit{td.Cmd, skip})
			tri.run()
			if tri.struck == 0 {
				break
			}
			cou++
			told[0] += tri.told[0]
			told[1] += tri.told[1]
		}
		var gro sync.WaitGroup
		for ind, two := range logCells() {
			gro.Go(func() { newLogTrial(t, &hit{td.Cmd, ind % 5}, &hit{two, ind % 3}).run() })
		}
		gro.Wait()
		return fmt.Sprintf("struck=%d claims=%d finishes=%d of %d\n", cou, told[0], told[1], cou*logRounds)
	})
	require.Equal(t, logCells(), cels, "no cell is missing")
}

// TestOldFormat has a store with the base of format 1: it must not be taken for
// an empty shard.
func TestOldFormat(t *testing.T) {
	tri := newLogTrial(t)
	// A sequence number and an empty shard.
	_, err := tri.put(persister.Object{Path: "claims/00/base", Value: []byte{1 << 3, 40, 2<<3 | 2, 0}})
	require.NoError(t, err)
	require.ErrorIs(t, tri.writers[0].log.load(t.Context()), errFormat)
	sta := tri.drive(tri.writers[0], &messenger.ClaimCommit{Key: "key", Nonce: "n", KeyTimeMs: epoch.UnixMilli()})
	require.Equal(t, messenger.ClaimResult_STATE_NOT_COMMITTED, sta)
}
