package quarantiner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// hosts are ledgers that exchange what they learn only at the command "spread".
type hosts struct {
	ledgers map[string]*Ledger
	pending map[string]Change
	trials  map[string]Trial
	now     time.Time
}

func (hos *hosts) ledger(name string) *Ledger {
	if hos.ledgers[name] == nil {
		led := &Ledger{}
		led.OnChange = func(cha Change) {
			sum := hos.pending[name]
			sum.Suspects = append(sum.Suspects, cha.Suspects...)
			sum.Quarantines = append(sum.Quarantines, cha.Quarantines...)
			hos.pending[name] = sum
		}
		hos.ledgers[name] = led
	}
	return hos.ledgers[name]
}

// spread sends what each host has learned to all others, in the form of messages.
func (hos *hosts) spread() {
	for from, cha := range hos.pending {
		for to, led := range hos.ledgers {
			if to != from {
				led.Merge(FromMessage(Message(cha, hos.now), hos.now), hos.now)
			}
		}
	}
	hos.pending = map[string]Change{}
}

// run executes one command and returns its result.
func (hos *hosts) run(t *testing.T, words []string) string {
	switch words[0] {
	case "send":
		hos.trials[words[1]] = hos.ledger(words[2]).NewTrial("llm", words[3:])
		return ""
	case "crash":
		evi := WeakEvidence
		if words[3] == "began" {
			evi = StrongEvidence
		}
		hos.ledger(words[2]).Crashed(hos.trials[words[1]], evi, hos.now)
		return ""
	case "answer":
		hos.ledger(words[2]).Answered(hos.trials[words[1]], hos.now)
		return ""
	case "spread":
		hos.spread()
		return ""
	case "restart":
		delete(hos.ledgers, words[1])
		delete(hos.pending, words[1])
		hos.ledger(words[1])
		return ""
	case "pull":
		hos.ledger(words[1]).Merge(hos.ledger(words[2]).Everything(hos.now), hos.now)
		return ""
	case "wait":
		wait, err := time.ParseDuration(words[1])
		require.NoError(t, err)
		hos.now = hos.now.Add(wait)
		return ""
	case "call":
		return fmt.Sprintf("%s: %v\n", strings.Join(words, " "), hos.ledger(words[1]).TimeLeft("llm", words[2:], hos.now))
	case "unstored":
		var names []string
		for _, qua := range hos.ledger(words[1]).Unstored(0, hos.now) {
			names = append(names, fmt.Sprintf("%v generation %d lifted %t", qua.Parts, qua.Generation, qua.Lifted))
		}
		slices.Sort(names)
		return fmt.Sprintf("unstored %s: %s\n", words[1], strings.Join(names, ", "))
	}
	require.Fail(t, "unknown command", words)
	return ""
}

// TestLedger runs the scripts of testdata. "send TRIAL HOST PART..." sends a prompt, "crash
// TRIAL HOST began|before" and "answer TRIAL HOST" end it; "call HOST PART..." prints how
// long such a call is still refused.
func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		hos := &hosts{ledgers: map[string]*Ledger{}, pending: map[string]Change{}, trials: map[string]Trial{}, now: time.Unix(1000, 0)}
		for _, name := range []string{"a", "b", "c", "d"} {
			hos.ledger(name)
		}
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			var bui strings.Builder
			for line := range strings.SplitSeq(strings.TrimSpace(dat.Input), "\n") {
				bui.WriteString(hos.run(t, strings.Fields(line)))
			}
			return bui.String()
		})
	})
}

// TestDigest compares hosts that know the same quarantines in another order, and hosts that
// do not.
func TestDigest(t *testing.T) {
	now := time.Unix(1000, 0)
	quas := []Quarantine{{Pool: "llm", Parts: []string{"a"}, Generation: 1, Since: now}, {Pool: "llm", Parts: []string{"b"}, Generation: 1, Since: now}}
	var first, second Ledger
	require.Zero(t, first.Digest(now))
	first.Merge(Change{Quarantines: quas}, now)
	second.Merge(Change{Quarantines: []Quarantine{quas[1]}}, now)
	require.NotEqual(t, first.Digest(now), second.Digest(now))
	second.Merge(Change{Quarantines: []Quarantine{quas[0]}}, now)
	require.Equal(t, first.Digest(now), second.Digest(now))
	second.Merge(Change{Quarantines: []Quarantine{quas[0].WithLift()}}, now)
	require.NotEqual(t, first.Digest(now), second.Digest(now))
	require.Zero(t, first.Digest(now.Add(Lifetime)))
}

// TestStored removes quarantines that have ended from the store.
func TestStored(t *testing.T) {
	now := time.Unix(1000, 0)
	var led Ledger
	qua := Quarantine{Pool: "llm", Parts: []string{"a"}, Generation: 1, Since: now}
	led.Merge(Change{Quarantines: []Quarantine{qua}}, now)
	require.Len(t, led.Unstored(0, now), 1)
	led.MarkStored(qua.Name(), 0)
	require.Empty(t, led.Unstored(0, now))
	require.Empty(t, led.EndedInStore(0, now))
	require.Equal(t, []string{qua.Name()}, led.EndedInStore(0, now.Add(Lifetime)))
	require.Empty(t, led.EndedInStore(0, now.Add(Lifetime)))
}

// TestBounds offers more suspects and quarantines than a host keeps.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	var led Ledger
	var cha Change
	for i := range 2 * maxSuspects {
		cha.Suspects = append(cha.Suspects, Suspect{Pool: "llm", Part: fmt.Sprint(i), Score: 1})
		cha.Quarantines = append(cha.Quarantines, Quarantine{Pool: "llm", Parts: []string{fmt.Sprint(i)}, Generation: 1, Since: now})
	}
	updates := led.Merge(cha, now)
	require.Len(t, updates.Suspects, maxSuspects)
	require.Len(t, updates.Quarantines, maxQuarantines)
	require.Len(t, led.Everything(now).Quarantines, maxQuarantines)
	led.Merge(Change{}, now.Add(suspectLifetime+time.Second))
	require.Empty(t, led.Everything(now.Add(suspectLifetime+time.Second)).Suspects)
}

// TestLedgerAcrossEras guards against quarantines that are gone for hosts that start later, since the
// store has come back from a copy without them, and against ended ones that the copy still has.
func TestLedgerAcrossEras(t *testing.T) {
	var led Ledger
	now := time.Unix(1_000, 0)
	qua := Quarantine{Pool: "llm", Parts: []string{"a"}, Generation: 1, Since: now}
	led.Merge(Change{Quarantines: []Quarantine{qua}}, now)
	led.MarkStored(qua.Name(), 1)
	require.Empty(t, led.Unstored(1, now))
	require.Len(t, led.Unstored(2, now), 1)
	led.MarkStored(qua.Name(), 1)
	require.Len(t, led.Unstored(2, now), 1, "the write of the earlier era was answered late")
	led.MarkStored(qua.Name(), 2)
	require.Empty(t, led.Unstored(2, now))

	now = now.Add(Lifetime)
	names := []string{qua.Name()}
	require.Equal(t, names, led.EndedInStore(2, now))
	require.Empty(t, led.EndedInStore(2, now))
	require.Equal(t, names, led.EndedInStore(3, now.Add(10*time.Second)))
	require.Empty(t, led.EndedInStore(3, now.Add(11*time.Second)))
	require.Equal(t, names, led.EndedInStore(4, now.Add(70*time.Second)))
	require.Empty(t, led.EndedInStore(5, now.Add(131*time.Second)), "copies are seconds old")
}
