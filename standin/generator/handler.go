package generator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hemlockpin/connection/invoker"

	"github.com/gorilla/mux"
)

const eventBuffer = 256

// Handler serves the engine's API and its control.
func (gen *Generator) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.HandleFunc("/v1/generate", gen.generate).Methods(http.MethodPost)
	rou.HandleFunc("/v1/cancel", gen.cancel).Methods(http.MethodPost)
	rou.HandleFunc("/v1/load", gen.getLoad).Methods(http.MethodGet)
	rou.HandleFunc("/v1/reserve", gen.reserve).Methods(http.MethodPost)
	rou.HandleFunc("/v1/release", gen.release).Methods(http.MethodPost)
	rou.HandleFunc("/v1/config", gen.getConfig).Methods(http.MethodGet)
	rou.HandleFunc("/v1/orders", gen.takeOrder).Methods(http.MethodPost)
	rou.HandleFunc("/control/faults", gen.putFaults).Methods(http.MethodPut)
	rou.HandleFunc("/control/memory", gen.memory).Methods(http.MethodGet)
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

func (gen *Generator) generate(wri http.ResponseWriter, htr *http.Request) {
	req, ok := decode[invoker.GenerateRequest](wri, htr)
	if !ok {
		return
	}
	if req.ReservationID == "" && req.PromptTokens+req.MaxTokens > gen.set.MemoryTokens {
		refuse(wri, http.StatusBadRequest, "too_large", "the prompt exceeds the engine's memory")
		return
	}
	seq := &sequence{req: req, next: req.StartIndex, queuedAt: time.Now(), events: make(chan invoker.Event, eventBuffer), gone: make(chan struct{})}
	gen.mu.Lock()
	if gen.leaving || gen.faults.Leaving {
		gen.mu.Unlock()
		refuse(wri, http.StatusServiceUnavailable, "leaving", "the engine is leaving")
		return
	}
	if _, held := gen.holds[req.ReservationID]; req.ReservationID != "" && !held {
		gen.mu.Unlock()
		refuse(wri, http.StatusConflict, "no_reservation", "the reservation is not held")
		return
	}
	gen.waiting = append(gen.waiting, seq)
	gen.mu.Unlock()
	select {
	case gen.wake <- struct{}{}:
	default:
	}
	defer seq.stop()
	hea := wri.Header()
	hea.Set("Content-Type", "text/event-stream")
	hea.Set(invoker.EngineRequestHeader, req.RequestID)
	hea.Set(invoker.EngineAttemptHeader, strconv.Itoa(req.Attempt))
	hea.Set(invoker.EngineModelHeader, req.Model)
	hea.Set(invoker.EnginePromptHeader, strconv.FormatInt(req.PromptTokens, 10))
	wri.WriteHeader(http.StatusOK)
	gen.stream(wri, htr, seq)
}

func (gen *Generator) stream(wri http.ResponseWriter, htr *http.Request, seq *sequence) {
	con := http.NewResponseController(wri)
	tic := time.NewTicker(gen.set.IdleEvery)
	defer tic.Stop()
	for {
		_ = con.Flush()
		select {
		case eve := <-seq.events:
			if !writeEvent(wri, eve) {
				return
			}
		case <-tic.C:
			if !gen.frozen() {
				fmt.Fprint(wri, "event: Idle\ndata: {}\n\n")
			}
		case <-seq.gone:
			return
		case <-htr.Context().Done():
			return
		}
	}
}

// writeEvent reports whether the stream goes on.
func writeEvent(wri http.ResponseWriter, eve invoker.Event) bool {
	nam := "Token"
	_, fin := eve.(invoker.Finish)
	if fin {
		nam = "Finish"
	}
	buf, err := json.Marshal(eve)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(wri, "event: %s\ndata: %s\n\n", nam, buf)
	return err == nil && !fin
}

func (gen *Generator) frozen() bool {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.faults.Freeze
}

func (gen *Generator) cancel(wri http.ResponseWriter, htr *http.Request) {
	can, ok := decode[struct{ RequestID string }](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	for _, seqs := range [][]*sequence{gen.waiting, gen.running} {
		for _, seq := range seqs {
			if seq.req.RequestID == can.RequestID {
				seq.stop()
			}
		}
	}
	gen.drop()
}

func (gen *Generator) getLoad(wri http.ResponseWriter, _ *http.Request) {
	gen.mu.Lock()
	now := time.Now()
	gen.report(now)
	loa := gen.lagged[0].load
	gen.mu.Unlock()
	_ = json.NewEncoder(wri).Encode(loa)
}

// memory serves the true account without lag.
func (gen *Generator) memory(wri http.ResponseWriter, _ *http.Request) {
	gen.mu.Lock()
	gen.drop()
	loa := gen.load(time.Now())
	gen.mu.Unlock()
	_ = json.NewEncoder(wri).Encode(loa)
}

func (gen *Generator) reserve(wri http.ResponseWriter, htr *http.Request) {
	res, ok := decode[struct {
		ReservationID string
		RequestID     string
		Owner         invoker.Owner
		Tokens        int64
	}](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if _, held := gen.holds[res.ReservationID]; held {
		return
	}
	if gen.leaving || gen.faults.Leaving || gen.used()+res.Tokens > gen.set.MemoryTokens {
		refuse(wri, http.StatusServiceUnavailable, "no_memory", "the engine has not enough free memory")
		return
	}
	gen.holds[res.ReservationID] = hold{id: res.ReservationID, kind: "Reservation", requestID: res.RequestID, owner: res.Owner, tokens: res.Tokens, at: time.Now()}
}

func (gen *Generator) release(wri http.ResponseWriter, htr *http.Request) {
	rel, ok := decode[struct{ ID string }](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	delete(gen.holds, rel.ID)
}

func (gen *Generator) putFaults(wri http.ResponseWriter, htr *http.Request) {
	fau, ok := decode[Faults](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.faults = fau
}
