package allocator

import (
	"testing"

	"hemlockpin/process/grouper"
	"hemlockpin/request/executor"
	"hemlockpin/request/placer"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

// TestRetryExcludesUnresponsiveEngine checks that the next attempt excludes an engine
// that did not answer, and only such an engine.
func TestRetryExcludesUnresponsiveEngine(t *testing.T) {
	for _, tt := range []struct {
		name string
		err  error
		want []string
	}{
		{"silent", &grouper.UnavailableError{Engine: "e", NoAnswer: true}, []string{"x", "e"}},
		{"busy", &grouper.UnavailableError{Engine: "e"}, []string{"x"}},
		{"ended", eris.New("ended"), []string{"x"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := newGroupError(tt.err)
			require.Equal(t, tt.want, err.excludeUnresponsive(placer.Request{Excluded: []string{"x"}}).Excluded)
			var ref *executor.RefusedError
			require.ErrorAs(t, err, &ref)
			require.Equal(t, codeGroupUnavailable, ref.Refuse.Code)
			require.True(t, overflows(err))
		})
	}
}
