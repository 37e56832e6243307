package generator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hemlockpin/connection/invoker"

	"github.com/gorilla/mux"
)

// Handler serves the API of the engine, and the control API by which tests
// inject faults and read the memory.
func (gen *Generator) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.HandleFunc("/v1/generate", gen.generate).Methods(http.MethodPost)
	rou.HandleFunc("/v1/cancel", gen.cancel).Methods(http.MethodPost)
	rou.HandleFunc("/v1/free", gen.free).Methods(http.MethodPost)
	rou.HandleFunc("/v1/load", gen.getLoad).Methods(http.MethodGet)
	rou.HandleFunc("/v1/events", gen.getEvents).Methods(http.MethodPost)
	rou.HandleFunc("/v1/reserve", gen.reserve).Methods(http.MethodPost)
	rou.HandleFunc("/v1/release", gen.release).Methods(http.MethodPost)
	rou.HandleFunc("/v1/config", gen.getConfig).Methods(http.MethodGet)
	rou.HandleFunc("/v1/orders", gen.handleOrder).Methods(http.MethodPost)
	rou.HandleFunc("/v1/group/check", gen.checkHold).Methods(http.MethodPost)
	rou.HandleFunc("/v1/kv/export", gen.exportBlocks).Methods(http.MethodPost)
	rou.HandleFunc("/v1/kv/import", gen.importBlocks).Methods(http.MethodPost)
	rou.HandleFunc("/v1/kv/fetch", gen.fetchExport).Methods(http.MethodGet)
	rou.HandleFunc("/control/faults", gen.putFaults).Methods(http.MethodPut)
	rou.HandleFunc("/control/memory", gen.getMemory).Methods(http.MethodGet)
	return rou
}

func refuse(wri http.ResponseWriter, status int, code, message string) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(struct {
		Code    string
		Message string
		Ran     invoker.Execution
	}{code, message, invoker.NotRun})
}

func decode[T any](wri http.ResponseWriter, req *http.Request) (T, bool) {
	var val T
	if err := json.NewDecoder(req.Body).Decode(&val); err != nil {
		refuse(wri, http.StatusBadRequest, "bad_body", err.Error())
		return val, false
	}
	return val, true
}

// refusal is an error answer to a request that was not run.
type refusal struct {
	status        int
	code, message string
}

func (gen *Generator) generate(wri http.ResponseWriter, htr *http.Request) {
	req, ok := decode[invoker.GenerateRequest](wri, htr)
	if !ok {
		return
	}
	seq, fau, ref := gen.accept(req, newSequence(req, time.Now()))
	if ref != nil {
		refuse(wri, ref.status, ref.code, ref.message)
		return
	}
	gen.wakeUp()
	if len(req.Group) > 1 {
		ctx, stop := context.WithCancel(context.WithoutCancel(htr.Context()))
		defer stop()
		go gen.watchGroup(ctx, seq, req)
	}
	hea := wri.Header()
	hea.Set("Content-Type", "text/event-stream")
	hea.Set(invoker.EngineRequestHeader, req.RequestID)
	hea.Set(invoker.EngineAttemptHeader, strconv.Itoa(req.Attempt))
	hea.Set(invoker.EngineModelHeader, req.Model)
	hea.Set(invoker.EnginePromptHeader, strconv.FormatInt(req.PromptTokens, 10))
	if fau.WrongModel {
		hea.Set(invoker.EngineModelHeader, "another-model")
	}
	wri.WriteHeader(http.StatusOK)
	str := &stream{generator: gen, sequence: seq, req: req, faults: fau, writer: wri}
	str.run(htr.Context())
}

// accept resumes the sequence of an earlier attempt if that is possible, and
// otherwise queues the new sequence. It refuses an attempt that is not newer.
func (gen *Generator) accept(req invoker.GenerateRequest, seq *sequence) (*sequence, Faults, *refusal) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if ref := gen.check(req); ref != nil {
		return nil, Faults{}, ref
	}
	old := gen.sequences[req.RequestID]
	switch {
	case old == nil:
		gen.add(seq)
	case req.Attempt <= old.req.Attempt:
		return nil, Faults{}, &refusal{http.StatusConflict, "stale_attempt", "a newer attempt is known"}
	case old.failed == nil && req.StartIndex <= old.next && old.req.ReservationID == req.ReservationID:
		old.attach(req, time.Now())
		seq = old
	default:
		gen.remove(old)
		gen.add(seq)
	}
	return seq, gen.streamFaults(), nil
}

func (gen *Generator) check(req invoker.GenerateRequest) *refusal {
	if gen.isLeaving() {
		return &refusal{http.StatusServiceUnavailable, "leaving", "the engine is leaving"}
	}
	if gen.faults.Refuse {
		return &refusal{http.StatusServiceUnavailable, "overloaded", "the engine takes no work"}
	}
	if req.ReservationID == "" {
		if req.PromptTokens+req.MaxTokens > gen.set.MemoryTokens {
			return &refusal{http.StatusBadRequest, "too_large", "the prompt exceeds the engine's memory"}
		}
		return nil
	}
	hol, held := gen.holds[req.ReservationID]
	if !held || hol.owner != req.Owner {
		return &refusal{http.StatusConflict, "no_reservation", "the reservation is not held"}
	}
	var all int64
	for _, par := range req.Group {
		all += par.Tokens
	}
	if all < req.PromptTokens+req.MaxTokens {
		return &refusal{http.StatusConflict, "group_too_small", "the group holds less than the prompt and its answer"}
	}
	return nil
}
