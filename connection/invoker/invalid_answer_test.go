package invoker

import (
	"net/http"
	"testing"

	"hemlockpin/internal/testkit/answerer"

	"github.com/stretchr/testify/require"
)

// TestInvalidAnswers guards against bytes that HTTP/1.1 does not allow in an answer being taken
// for the reply of an endpoint.
func TestInvalidAnswers(t *testing.T) {
	for _, ans := range append(answerer.Invalid(), answerer.Sound) {
		t.Run(ans.Name, func(t *testing.T) {
			check := require.Error
			if ans == answerer.Sound {
				check = require.NoError
			}
			inv := &Invoker{}
			address := answerer.Serve(t, ans.Text("", "{}"))
			for _, once := range []bool{true, false} {
				_, err := inv.Call(t.Context(), address, ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("{}"), AtMostOnce: once})
				check(t, err, "call, at most once: %v", once)
			}
			_, err := inv.Load(t.Context(), address)
			check(t, err, "load report")
			gen := GenerateRequest{RequestID: "r", Attempt: 1, Model: "m", PromptTokens: 3}
			heads := EngineRequestHeader + ": r\r\n" + EngineAttemptHeader + ": 1\r\n" + EngineModelHeader + ": m\r\n" + EnginePromptHeader + ": 3\r\n"
			str, err := inv.Generate(t.Context(), answerer.Serve(t, ans.Text(heads, "event: Idle\ndata: {}\n\n")), gen)
			if err == nil {
				// The trailer follows the events.
				for err == nil {
					_, err = str.Next(EventTimeout)
				}
				str.Close()
			}
			var invokeErr *Error
			require.ErrorAs(t, err, &invokeErr)
			require.Equal(t, ans == answerer.Sound, invokeErr.Step == "Stream.Next: end before finish", "%v", err)
		})
	}
}
