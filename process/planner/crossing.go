package planner

import (
	"time"

	"hemlockpin/process/localizer"
)

const (
	// bytesPerToken is the usual size in bytes of a token in the events of an answer.
	bytesPerToken = 6
	// maxBytes bounds the size of a call, far above any that makes sense.
	maxBytes = 1 << 40
)

// newLocalizer returns the costs of leaving a data centre by the parameters of a pool.
func newLocalizer(eve Parameters) localizer.Localizer {
	loc := localizer.Localizer{}.WithPrice(eve.FarPrice)
	for _, del := range eve.Batching.Delays {
		loc = loc.WithDelay(localizer.Link{From: del.From, To: del.To}, time.Duration(min(maxFigure, max(0, del.Ms))*float64(time.Millisecond)))
	}
	return loc
}

// crossing returns what it costs if an engine leads a request.
func (pla *Plan) crossing(pen *pending, eng *engine) localizer.Crossing {
	answer := pen.prompt.AnswerTokens
	if answer == 0 {
		answer = pla.costs.UsualAnswer
	}
	bytes := min(maxBytes, max(0, pen.Bytes)) + bytesPerToken*min(answer, pla.answerTokens(pen.prompt))
	return pla.localizer.Crossing(pen.DataCenter, eng.DataCenter, bytes)
}
