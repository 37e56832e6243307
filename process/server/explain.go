package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"hemlockpin/connection/decoder"
	"hemlockpin/request/placer"
	"hemlockpin/request/responder"
	"hemlockpin/version/explainer"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"
)

// ExplainRequest describes a request whose routing and placement are to be explained.
type ExplainRequest struct {
	Team string
	// Model is set for prompts, Path for calls of services.
	Model        string `json:",omitempty"`
	Path         string `json:",omitempty"`
	PromptTokens int64  `json:",omitempty"`
	MaxTokens    int64  `json:",omitempty"`
}

// Explanation reports the route, the pool and the endpoint that a request would get.
type Explanation struct {
	Host string
	explainer.Explanation
	// Cell is the cell in whose queue a prompt would wait. Scheduler is the host that
	// grants the endpoints of this cell. Both are empty if this host places requests by
	// itself.
	Cell      string `json:",omitempty"`
	Scheduler string `json:",omitempty"`
	// Decision is the placement that this host would choose by itself now. A scheduler
	// has newer data of its cell and may choose another endpoint.
	Decision string
	// Refused reports that no route or no endpoint accepts the request.
	Refused   bool
	Endpoint  string `json:",omitempty"`
	Endpoints []EndpointView
}

// EndpointView is this host's view of one endpoint of the pool.
type EndpointView struct {
	ID         string
	Address    string
	DataCenter string
	Takes      bool
	// Reasons lists why the endpoint cannot take the request.
	Reasons      []string `json:",omitempty"`
	ReportAgeMs  int64
	MemoryTokens int64
	UsedTokens   int64
	QueuedTokens int64
}

func (ser *Server) postExplain(wri http.ResponseWriter, htr *http.Request) {
	var req ExplainRequest
	doc, err := io.ReadAll(http.MaxBytesReader(wri, htr.Body, maxOperatorBodyBytes))
	if err != nil {
		responder.WriteJSON(wri, http.StatusBadRequest, OperatorError{Code: "invalid_json", Message: err.Error()})
		return
	}
	dec := json.NewDecoder(bytes.NewReader(decoder.Normalize(doc)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		responder.WriteJSON(wri, http.StatusBadRequest, OperatorError{Code: "invalid_json", Message: err.Error()})
		return
	}
	mat := ser.publisher.Current()
	if !slices.ContainsFunc(mat.Tables().Teams, func(tea parser.Team) bool { return tea.Name == req.Team }) {
		responder.WriteJSON(wri, http.StatusNotFound, OperatorError{Code: "unknown_team", Message: fmt.Sprintf("no team %q", req.Team)})
		return
	}
	responder.WriteJSON(wri, http.StatusOK, ser.Explain(mat, req, time.Now()))
}

// Explain returns how a request would be routed and placed now.
func (ser *Server) Explain(mat *matcher.Matcher, req ExplainRequest, now time.Time) Explanation {
	que := matcher.Query{Kind: parser.PoolService, Model: req.Model, Team: req.Team, Path: req.Path, PromptTokens: req.PromptTokens}
	if req.Model != "" {
		que.Kind = parser.PoolEngine
	}
	exp := Explanation{Host: ser.Settings.HostID, Explanation: explainer.Explain(mat, que), Endpoints: []EndpointView{}}
	if exp.Pool == nil {
		exp.Decision = "Refuse: no route takes the request"
		exp.Refused = true
		return exp
	}
	vie := ser.watcher.Pool(*exp.Pool)
	placement := placer.Request{Team: req.Team, Model: req.Model, Pool: exp.Pool.Name, PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens,
		Priority: exp.Route.Priority, Deadline: now.Add(time.Duration(exp.Route.TimeLimit))}
	for _, end := range vie.Endpoints {
		exp.Endpoints = append(exp.Endpoints, endpointView(end, placement, now))
	}
	exp.Cell, exp.Scheduler = ser.allocator.SchedulerFor(placement, *exp.Pool, now)
	seed := uint64(now.UnixNano())
	dec := placer.Decide(placer.Policy(ser.Settings.Placement), placement, vie, now, rand.New(rand.NewPCG(seed, seed)))
	_, exp.Refused = dec.(placer.Refuse)
	exp.Decision, exp.Endpoint = describeDecision(dec)
	return exp
}

func endpointView(end placer.Endpoint, req placer.Request, now time.Time) EndpointView {
	out := EndpointView{ID: end.ID, Address: end.Address, DataCenter: end.DataCenter, ReportAgeMs: -1,
		MemoryTokens: end.MemoryTokens, UsedTokens: end.UsedTokens, QueuedTokens: end.QueuedTokens}
	if !end.ReportedAt.IsZero() {
		out.ReportAgeMs = now.Sub(end.ReportedAt).Milliseconds()
	}
	if end.Leaving {
		out.Reasons = append(out.Reasons, "it is leaving")
	}
	if req.Model != "" && !slices.Contains(end.Models, req.Model) {
		out.Reasons = append(out.Reasons, fmt.Sprintf("model %q is not loaded", req.Model))
	}
	need := req.PromptTokens + req.MaxTokens
	if end.MemoryTokens > 0 && need > end.MemoryTokens {
		out.Reasons = append(out.Reasons, fmt.Sprintf("its memory of %d tokens is less than the %d needed; only a group of engines can hold them", end.MemoryTokens, need))
	}
	out.Takes = len(out.Reasons) == 0
	return out
}

func describeDecision(dec placer.Decision) (text, endpoint string) {
	switch dec := dec.(type) {
	case placer.Place:
		return "Place", dec.Endpoint
	case placer.PlaceGroup:
		parts := "PlaceGroup:"
		for _, par := range dec.Parts {
			parts += fmt.Sprintf(" %s (%d tokens)", par.Endpoint, par.Tokens)
		}
		return parts, ""
	case placer.Wait:
		return "Wait", ""
	case placer.Refuse:
		return "Refuse: " + dec.Message, ""
	default:
		return fmt.Sprintf("%T", dec), ""
	}
}
