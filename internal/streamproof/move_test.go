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

// slowPrefill are the arguments of engines whose prefill is so slow that prompts of
// 8,000 tokens count as long.
var slowPrefill = []string{"--prefill-rate", "40000", "--step", "10ms", "--idle-every", "200ms"}

// TestMoves sends long prompts, so that generations move to the engines that the
// cell dedicates to decoding (the first ones). It kills the source or the target of
// moves, or has the engines lose cancellations.
func TestMoves(t *testing.T) {
	tests := []struct {
		name   string
		faults generator.Faults
		// victim is the index of the engine that is killed while generations
		// move; -1 for none.
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
			linkEngines(t, &pla)
			fle := startFleet(t, pla)
			for _, eng := range fle.Engines {
				require.NoError(t, fle.Fault(t.Context(), eng, tt.faults))
			}
			left := fle.Engines
			var ques []question
			for i := range 60 {
				text := strings.Repeat(fmt.Sprintf("Ledger %d. ", i), 8000*hasher.BytesPerToken/len("Ledger 10. "))
				ques = append(ques, question{text: text, tokens: 150, timeLimit: 25 * time.Second})
			}
			done := make(chan []answer, 1)
			go func() { done <- askMany(t.Context(), fle.Hosts, ques, nil) }()
			if tt.victim >= 0 {
				victim := fle.Engines[tt.victim]
				requireMoving(t, fle)
				victim.Kill()
				left = append(append([]*testkit.Process(nil), fle.Engines[:tt.victim]...), fle.Engines[tt.victim+1:]...)
			}
			for i, ans := range <-done {
				requireComplete(t, ques[i], ans)
			}
			requireMoving(t, fle)
			requireFreed(t, left, 40*time.Second)
		})
	}
}

// requireMoving waits until a host has completed a move.
func requireMoving(t *testing.T, fle *testkit.Fleet) {
	t.Helper()
	err := testkit.Poll(t.Context(), countTimeout, func() bool {
		return counter(t, fle.Hosts[0], "moves_done")+counter(t, fle.Hosts[1], "moves_done") > 0
	})
	require.NoError(t, err, "no move was completed")
}
