package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockpin/process/follower"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/quarantiner"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// quarantineStore is a store whose reads of quarantines fail until it is set to answer.
type quarantineStore struct {
	mu     sync.Mutex
	answer bool
	reads  int
}

func (sto *quarantineStore) setAnswer() {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.answer = true
}

func (sto *quarantineStore) readCount() int {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.reads
}

func (sto *quarantineStore) Quarantines(_ context.Context, now time.Time) ([]quarantiner.Quarantine, []follower.InvalidEntry, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.reads++
	if !sto.answer {
		return nil, nil, errors.New("the store does not answer")
	}
	return []quarantiner.Quarantine{{Pool: "llm", Parts: []string{"bad"}, Generation: 1, Since: now}}, nil, nil
}

func (*quarantineStore) AddQuarantine(context.Context, quarantiner.Quarantine) error { return nil }

func (*quarantineStore) RemoveQuarantine(context.Context, string) error { return nil }

// lockedBuffer is a log that a test reads while the host writes it.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (buf *lockedBuffer) Write(line []byte) (int, error) {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	return buf.buf.Write(line)
}

func (buf *lockedBuffer) String() string {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	return buf.buf.String()
}

// newWaitingHost returns host number index of two, which has tables and endpoints and waits
// for the quarantines, and the address at which it answers its peer.
func newWaitingHost(t *testing.T, index int, log *lockedBuffer) (*Forwarder, *quarantineStore, string) {
	fwd, sto := newHost(t, index, 2, 2*time.Second), &quarantineStore{}
	fwd.Platform.Quarantines, fwd.quarantine.state = sto, quarantinesAwaited
	fwd.Log = zerolog.New(log)
	applyState(fwd, time.Now())
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() { _ = fwd.multiplexer.Serve(lis) }()
	return fwd, sto, lis.Addr().String()
}

// saysComplete reports whether a host answers peers that it has all quarantines.
func saysComplete(fwd *Forwarder) bool {
	return fwd.handleQuarantinePull(time.Now()).GetQuarantinePush().GetComplete()
}

// missesInStatus reports whether the status for operators says that the host lacks them.
func missesInStatus(t *testing.T, fwd *Forwarder) bool {
	rec := httptest.NewRecorder()
	fwd.status(rec, nil)
	var sta struct{ QuarantinesMissing bool }
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &sta))
	return sta.QuarantinesMissing
}

// TestServesWithoutQuarantines guards against a host that serves without the quarantines and
// never reads them again, or tells its peers that it has them. The store fails until the host
// serves, and then answers.
func TestServesWithoutQuarantines(t *testing.T) {
	var log lockedBuffer
	fwd, sto, _ := newWaitingHost(t, 0, &log)
	require.NotEmpty(t, fwd.notReadyReason())
	ctx, stop := context.WithCancel(t.Context())
	var gro sync.WaitGroup
	defer gro.Wait()
	defer stop()
	gro.Go(func() { fwd.followQuarantines(ctx) })
	select {
	case <-fwd.ready:
	case <-time.After(10 * quarantineWait):
		require.Fail(t, "the host does not serve")
	}
	require.Empty(t, fwd.notReadyReason())
	require.False(t, saysComplete(fwd))
	require.True(t, missesInStatus(t, fwd))
	require.Contains(t, log.String(), "serving without them")
	reads := sto.readCount()
	require.Eventually(t, func() bool { return sto.readCount() > reads+1 }, 20*time.Second, 10*time.Millisecond, "the host goes on reading")
	require.Equal(t, 1, strings.Count(log.String(), `"level":"warn","Failures"`), log.String())
	sto.setAnswer()
	require.Eventually(t, func() bool { return saysComplete(fwd) }, 20*time.Second, 10*time.Millisecond)
	require.False(t, missesInStatus(t, fwd))
	require.Positive(t, fwd.quarantine.ledger.TimeLeft("llm", []string{"bad"}, time.Now()))
	require.Contains(t, log.String(), "received late")
}

// newPairWithout returns two hosts that serve without the quarantines, and the addresses at
// which they answer each other.
func newPairWithout(t *testing.T) (hosts [2]*Forwarder, addresses [2]string) {
	var log lockedBuffer
	for i := range hosts {
		hosts[i], _, addresses[i] = newWaitingHost(t, i, &log)
		hosts[i].serveWithoutQuarantines(quarantineWait, time.Now())
	}
	return hosts, addresses
}

// TestQuarantinesPulledLate has a host that serves without the quarantines pull them from the
// first probed peer that has them, even if there are none. A peer that lacks them does not
// count.
func TestQuarantinesPulledLate(t *testing.T) {
	for name, quas := range map[string][]quarantiner.Quarantine{
		"none": nil, "one": {{Pool: "llm", Parts: []string{"bad"}, Generation: 1, Since: time.Now()}},
	} {
		t.Run(name, func(t *testing.T) {
			hosts, addresses := newPairWithout(t)
			fwd, per := hosts[0], hosts[1]
			probe := func() {
				fwd.gossiper.ProbeNow(t.Context(), gossiper.Peer{ID: "host-1", Address: addresses[1]})
				require.Eventually(t, func() bool { return !fwd.quarantine.pulling.Load() }, 5*time.Second, time.Millisecond)
			}
			probe()
			require.False(t, fwd.quarantine.ShouldPull(true, time.Now()), "the host has pulled")
			require.False(t, saysComplete(fwd), "the peer lacks them, too")
			per.quarantine.ledger.Merge(quarantiner.Change{Quarantines: quas}, time.Now())
			per.completeQuarantines(quarantinesFromPull, time.Now())
			require.Eventually(t, func() bool { probe(); return saysComplete(fwd) }, 10*time.Second, 50*time.Millisecond)
			require.Equal(t, per.quarantine.ledger.Digest(time.Now()), fwd.quarantine.ledger.Digest(time.Now()))
		})
	}
}

// TestQuarantinesAnnounced has a host that has read the quarantines late push them to a host
// that lacks them. A push of changes alone does not make that host complete.
func TestQuarantinesAnnounced(t *testing.T) {
	hosts, addresses := newPairWithout(t)
	fwd, per := hosts[0], hosts[1]
	quas := []quarantiner.Quarantine{{Pool: "llm", Parts: []string{"bad"}, Generation: 1, Since: time.Now()}}
	per.gossiper.MergePeer(gossiper.Peer{ID: "host-0", Address: addresses[0], Region: "western", Incarnation: 2, State: gossiper.StateAlive, CapacityMilli: 800})
	per.shareQuarantines(per.quarantine.ledger.Merge(quarantiner.Change{Quarantines: quas}, time.Now()))
	digest := per.quarantine.ledger.Digest(time.Now())
	require.Eventually(t, func() bool { return fwd.quarantine.ledger.Digest(time.Now()) == digest }, 5*time.Second, time.Millisecond)
	require.False(t, saysComplete(fwd))
	per.completeQuarantines(quarantinesFromStore, time.Now())
	require.Eventually(t, func() bool { return saysComplete(fwd) }, 5*time.Second, time.Millisecond)
}

// TestShouldPull checks from which peers a host pulls quarantines.
func TestShouldPull(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tt := range map[string]struct {
		state      quarantineState
		sameDigest bool
		sincePull  time.Duration
		want       bool
	}{
		"a starting host":                             {quarantinesAwaited, true, 0, true},
		"a host that lacks them":                      {quarantinesMissing, true, quarantineInterval, true},
		"a host that lacks them and has just pulled":  {quarantinesMissing, true, quarantineInterval - 1, false},
		"a host that lacks them, at another digest":   {quarantinesMissing, false, 0, true},
		"a host that has them":                        {quarantinesComplete, true, time.Hour, false},
		"a host that has them, at a different digest": {quarantinesComplete, false, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			syn := quarantineSync{state: tt.state, lastPull: now.Add(-tt.sincePull)}
			require.Equal(t, tt.want, syn.ShouldPull(tt.sameDigest, now))
		})
	}
}

// TestStateOnlyIncreases checks that a host that has the quarantines is not set back.
func TestStateOnlyIncreases(t *testing.T) {
	now := time.Unix(1000, 0)
	syn := quarantineSync{stateSince: now}
	before, age, ok := syn.Advance(quarantinesMissing, now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, quarantinesAwaited, before)
	require.Equal(t, time.Second, age)
	before, age, ok = syn.Advance(quarantinesComplete, now.Add(5*time.Second))
	require.True(t, ok)
	require.Equal(t, quarantinesMissing, before)
	require.Equal(t, 4*time.Second, age)
	for _, to := range []quarantineState{quarantinesAwaited, quarantinesMissing, quarantinesComplete} {
		_, _, ok = syn.Advance(to, now.Add(time.Minute))
		require.False(t, ok)
		require.Equal(t, quarantinesComplete, syn.State())
	}
}

// TestReadsOfAllHosts has all hosts of a large site fail to read the quarantines at the same
// time and go on. Together they may read a few times a second only.
func TestReadsOfAllHosts(t *testing.T) {
	const (
		hosts        = 920
		seconds      = 120
		step         = 50 * time.Millisecond
		maxMean      = 5
		maxPerSecond = 10
	)
	ran := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	var all []quarantineReads
	for range hosts {
		all = append(all, quarantineReads{}.WithFailure(start, ran.Float64()))
	}
	counts := make([]int, seconds)
	for at := step; at < seconds*time.Second; at += step {
		now := start.Add(at)
		for i, rea := range all {
			if rea.Due(hosts, now) {
				counts[at/time.Second]++
				all[i] = rea.WithFailure(now, ran.Float64())
			}
		}
	}
	sum := 0
	for sec, num := range counts {
		require.LessOrEqual(t, num, maxPerSecond, "second %d", sec)
		sum += num
	}
	require.LessOrEqual(t, sum, maxMean*seconds)
	require.GreaterOrEqual(t, sum, seconds, "a store that answers again is noticed within a second")
}

// TestReadPause checks that the pause of a few hosts grows and is bounded, and that the first
// read of a starting host waits for its share only.
func TestReadPause(t *testing.T) {
	var rea quarantineReads
	require.Zero(t, rea.Pause(1))
	require.Equal(t, 5*quarantineReadSpacing, quarantineReads{share: 0.5}.Pause(10))
	var pauses []time.Duration
	for range 5 {
		rea = rea.WithFailure(time.Unix(1000, 0), 0)
		pauses = append(pauses, rea.Pause(1))
	}
	require.Equal(t, []time.Duration{quarantineRetry, 2 * quarantineRetry, 4 * quarantineRetry, maxQuarantineRetry, maxQuarantineRetry}, pauses)
	require.False(t, rea.Due(1, rea.last.Add(maxQuarantineRetry-1)))
	require.True(t, rea.Due(1, rea.last.Add(maxQuarantineRetry)))
	require.Equal(t, 920*quarantineReadSpacing, rea.WithFailure(rea.last, 1).Pause(920))
}
