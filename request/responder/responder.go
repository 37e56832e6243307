// Package responder writes answers and errors in the format of the OpenAI API.
package responder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hemlockpin/connection/invoker"
)

// Response headers.
const (
	// RunHeader states whether the request ran: NotRun, Ran or Unknown.
	RunHeader = "Hemlockpin-Run"
	// RequestIDHeader is the request's identifier in logs and traces.
	RequestIDHeader = "Hemlockpin-Request-Id"
	// RevisionHeader is the revision of the tables that applied to the request.
	RevisionHeader = "Hemlockpin-Tables-Revision"
	// IgnoredHeader lists the fields of a prompt that had no effect.
	IgnoredHeader = "Hemlockpin-Ignored"
	// AgeHeader is the age of the tables in seconds. It is set only if the store has
	// not confirmed them for some time, neither to this host nor to its peers.
	AgeHeader = "Hemlockpin-Tables-Age"
	// InForceHeader is the number of hosts that have an accepted edit in force: the
	// host that accepted the edit and the hosts that have confirmed it.
	InForceHeader = "Hemlockpin-Tables-In-Force"
)

// Problem is a refusal or failure as sent to the caller. A receiver.RefusalError is
// sent as a Problem.
type Problem struct {
	Status     int
	Code       string
	Param      string
	Message    string
	Execution  invoker.Execution
	RetryAfter time.Duration
}

// errorType returns the error type of the OpenAI API for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

func (pro Problem) body() any {
	var body struct {
		Error struct {
			Message string  `json:"message"`
			Type    string  `json:"type"`
			Param   *string `json:"param"`
			Code    string  `json:"code"`
		} `json:"error"`
	}
	body.Error.Message = pro.Message
	body.Error.Type = errorType(pro.Status)
	body.Error.Code = pro.Code
	if pro.Param != "" {
		body.Error.Param = &pro.Param
	}
	return body
}

// WriteProblem writes a problem as the complete answer. Nothing may have been written
// before.
func WriteProblem(wri http.ResponseWriter, pro Problem) {
	setCode(wri, pro)
	if pro.RetryAfter > 0 {
		seconds := int64((pro.RetryAfter + time.Second - 1) / time.Second)
		wri.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if pro.Execution != "" {
		wri.Header().Set(RunHeader, string(pro.Execution))
	}
	WriteJSON(wri, pro.Status, pro.body())
}

// WriteJSON writes an answer with a JSON body.
func WriteJSON(wri http.ResponseWriter, status int, body any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(body)
}
