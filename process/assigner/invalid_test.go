package assigner

import (
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/planner"
	"hemlockpin/request/relayer"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// TestInvalidTexts guards against messages to planners that can't be encoded since the ID of a
// call, or the address of the faulty endpoint in an answer, is no UTF-8. Notices are sent
// together, so one such would lose the others.
func TestInvalidTexts(t *testing.T) {
	var pla Planners
	now := time.Unix(1000, 0)
	first, second := pla.requestID(relayer.PlacementRequest{ID: "\xff"}), pla.requestID(relayer.PlacementRequest{ID: "\xff"})
	require.NotEqual(t, first, second)
	for _, msg := range []proto.Message{
		requestMessage("llm", planner.Request{ID: first}, 0, now),
		&messenger.PlanNotices{Notices: []*messenger.PlanNotice{noticeMessage(planner.Failed{ID: first, Endpoint: "10.0.0.1:\xff"}, now), noticeMessage(planner.Ended{ID: second}, now)}},
	} {
		_, err := proto.Marshal(msg)
		require.NoError(t, err)
	}
}
