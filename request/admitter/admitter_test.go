package admitter

import (
	"testing"
	"time"

	"hemlockpin/request/placer"
	"hemlockpin/version/parser"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// fixedLimiter admits requests up to a total number of tokens.
type fixedLimiter struct{ left int64 }

func (fix *fixedLimiter) Take(_ parser.Team, tokens int64, _ time.Time) (time.Duration, bool) {
	if fix.left < tokens {
		return 3 * time.Second, false
	}
	fix.left -= tokens
	return 0, true
}

func TestAdmit(t *testing.T) {
	datadriven.RunTest(t, "testdata/admit", func(t *testing.T, dat *datadriven.TestData) string {
		var reqs, rate, tokens, calls int
		dat.MaybeScanArgs(t, "requests", &reqs)
		dat.MaybeScanArgs(t, "rate", &rate)
		dat.MaybeScanArgs(t, "tokens", &tokens)
		dat.MaybeScanArgs(t, "calls", &calls)
		adm := &Admitter{MaxRequests: reqs}
		if rate > 0 {
			adm.Limiter = &fixedLimiter{int64(rate)}
		}
		out := ""
		var releases []func()
		for range calls {
			release, ref := adm.Admit(placer.Request{PromptTokens: int64(tokens)}, parser.Team{}, parser.Pool{}, time.Time{})
			if ref != nil {
				out += ref.Code + " after " + ref.RetryAfter.String() + "\n"
				continue
			}
			out += "admitted\n"
			releases = append(releases, release)
		}
		for _, release := range releases {
			release()
			release()
		}
		require.Zero(t, adm.InProgress())
		return out
	})
}
