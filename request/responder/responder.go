// Package responder writes answers and errors in the form of the OpenAI API.
package responder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hemlockpin/connection/invoker"
)

// Headers of answers.
const (
	// RunHeader says whether the request ran: NotRun, Ran or Unknown.
	RunHeader = "Hemlockpin-Run"
	// RequestIDHeader names the request in logs and traces.
	RequestIDHeader = "Hemlockpin-Request-Id"
	// RevisionHeader names the revision of the tables that applied.
	RevisionHeader = "Hemlockpin-Tables-Revision"
	// IgnoredHeader names the fields of a prompt that had no effect.
	IgnoredHeader = "Hemlockpin-Ignored"
	// AgeHeader gives the age of the tables in seconds, when a host has been cut
	// off from the store and from peers that see it.
	AgeHeader = "Hemlockpin-Tables-Age"
	// InForceHeader counts the hosts known to have an accepted edit in force.
	InForceHeader = "Hemlockpin-Tables-In-Force"
)

// Problem is a refusal or failure to tell the caller.
type Problem struct {
	Status     int
	Code       string
	Param      string
	Message    string
	Ran        invoker.Execution
	RetryAfter time.Duration
}

// errorType maps a status to the error types of the OpenAI API.
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
	var bod struct {
		Error struct {
			Message string  `json:"message"`
			Type    string  `json:"type"`
			Param   *string `json:"param"`
			Code    string  `json:"code"`
		} `json:"error"`
	}
	bod.Error.Message = pro.Message
	bod.Error.Type = errorType(pro.Status)
	bod.Error.Code = pro.Code
	if pro.Param != "" {
		bod.Error.Param = &pro.Param
	}
	return bod
}

// WriteProblem writes a refusal before any other part of the answer.
func WriteProblem(wri http.ResponseWriter, pro Problem) {
	note(wri, pro)
	if pro.RetryAfter > 0 {
		sec := int64((pro.RetryAfter + time.Second - 1) / time.Second)
		wri.Header().Set("Retry-After", strconv.FormatInt(sec, 10))
	}
	if pro.Ran != "" {
		wri.Header().Set(RunHeader, string(pro.Ran))
	}
	WriteJSON(wri, pro.Status, pro.body())
}

// WriteJSON writes a JSON answer.
func WriteJSON(wri http.ResponseWriter, status int, bod any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(bod)
}
