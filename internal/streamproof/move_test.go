package streamproof_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/request/hasher"
	"hemlockpin/standin/generator"

	"github.com/stretchr/testify/require"
)

// slowPrefill has prompts of 8,000 tokens count as long.
var slowPrefill = []string{"--prefill-rate", "40000", "--step", "10ms", "--idle-every", "200ms"}

// TestMoves has answers move to the engines that the cell sets apart for them,
// the first ones, while faults befall those, the others, or the cancels.
func TestMoves(t *testing.T) {
	tests := []struct {
		name   string
		faults generator.Faults
		// victim is the engine that is killed while answers move; -1 for none.
		victim int
	}{
		{"calm", generator.Faults{}, -1},
		{"cancels lost", generator.Faults{LoseCancel: true, KeepDetached: true}, -1},
		{"target killed", generator.Faults{}, 0},
		{"source killed", generator.Faults{}, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pla := testkit.Plan{Hosts: 2, Engines: 6, EngineArgs: slowPrefill}
			linked(t, &pla)
			fle := startFleet(t, pla)
			for _, eng := range fle.Engines {
				require.NoError(t, fle.Fault(t.Context(), eng, tt.faults))
			}
			lef := fle.Engines
			var ques []question
			for ind := range 60 {
				txt := strings.Repeat(fmt.Sprintf("Ledger %d. ", ind), 8000*hasher.BytesPerToken/len("Ledger 10. "))
				ques = append(ques, question{text: txt, tokens: 150, limit: 25 * time.Second})
			}
			done := make(chan []answer, 1)
			go func() { done <- askMany(t.Context(), fle.Hosts, ques, nil) }()
			if tt.victim >= 0 {
				vic := fle.Engines[tt.victim]
				requireMoving(t, fle)
				vic.Kill()
				lef = append(append([]*testkit.Process(nil), fle.Engines[:tt.victim]...), fle.Engines[tt.victim+1:]...)
			}
			for ind, ans := range <-done {
				requireWhole(t, ques[ind], ans)
			}
			requireMoving(t, fle)
			requireFreed(t, lef, 40*time.Second)
		})
	}
}

// requireMoving waits until an answer has moved.
func requireMoving(t *testing.T, fle *testkit.Fleet) {
	t.Helper()
	err := testkit.Poll(t.Context(), countTimeout, func() bool {
		return counter(t, fle.Hosts[0], "moves_done")+counter(t, fle.Hosts[1], "moves_done") > 0
	})
	require.NoError(t, err, "no answer moved")
}
