package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"

	"github.com/rotisserie/eris"
)

const (
	groupTimeout       = time.Second
	groupCheckInterval = 500 * time.Millisecond
	// defaultHold is the budget of a hold for which its owner named none.
	defaultHold = 10 * time.Minute

	kindReservation = "Reservation"
	kindExport      = "Export"
)

// hold is memory set aside for a request of a group or an export.
type hold struct {
	id        string
	kind      string
	requestID string
	owner     invoker.Owner
	tokens    int64
	// blocks are the pinned blocks of an export.
	blocks    []uint64
	at        time.Time
	expiresAt time.Time
}

func (gen *Generator) reserve(wri http.ResponseWriter, htr *http.Request) {
	res, ok := decode[invoker.Reservation](wri, htr)
	if !ok {
		return
	}
	if res.Tokens > gen.set.MemoryTokens {
		refuse(wri, http.StatusBadRequest, "too_large", "the reservation exceeds the engine's memory")
		return
	}
	bud := time.Duration(res.BudgetMs) * time.Millisecond
	if bud == 0 {
		bud = defaultHold
	}
	now := time.Now()
	wai := &waiter{reservation: res, at: now, expiresAt: now.Add(bud), ready: make(chan *refusal, 1)}
	gen.mu.Lock()
	gen.addWaiter(wai)
	gen.grantWaiters(wai.at)
	gen.mu.Unlock()
	if ref := gen.awaitHold(htr.Context(), wai); ref != nil {
		refuse(wri, ref.status, ref.code, ref.message)
	}
}

// waiter is a reservation that waits for memory.
type waiter struct {
	reservation invoker.Reservation
	at          time.Time
	expiresAt   time.Time
	ready       chan *refusal
}

// addWaiter queues a reservation by its deadline, so that one which keeps coming
// back gets its turn.
func (gen *Generator) addWaiter(wai *waiter) {
	ind, _ := slices.BinarySearchFunc(gen.waiters, wai, func(one, two *waiter) int {
		return one.expiresAt.Compare(two.expiresAt)
	})
	gen.waiters = slices.Insert(gen.waiters, ind, wai)
}

func (gen *Generator) awaitHold(ctx context.Context, wai *waiter) *refusal {
	tim := time.NewTimer(time.Duration(wai.reservation.WaitMs) * time.Millisecond)
	defer tim.Stop()
	select {
	case ref := <-wai.ready:
		return ref
	case <-tim.C:
	case <-ctx.Done():
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.waiters = slices.DeleteFunc(gen.waiters, func(oth *waiter) bool { return oth == wai })
	select {
	case ref := <-wai.ready:
		return ref
	default:
		gen.kick()
		return &refusal{http.StatusServiceUnavailable, "no_memory", "the engine has not enough free memory"}
	}
}

// grantWaiters serves the waiting reservations in the order of their arrival.
func (gen *Generator) grantWaiters(now time.Time) {
	for len(gen.waiters) > 0 {
		wai := gen.waiters[0]
		ref, done := gen.tryHold(wai, now)
		if !done {
			return
		}
		gen.waiters = gen.waiters[1:]
		wai.ready <- ref
	}
}

// tryHold reports whether a reservation is decided, and how.
func (gen *Generator) tryHold(wai *waiter, now time.Time) (*refusal, bool) {
	res := wai.reservation
	if hol, held := gen.holds[res.ReservationID]; held {
		if hol.owner != res.Owner || hol.requestID != res.RequestID || hol.tokens != res.Tokens {
			return &refusal{http.StatusConflict, "held", "the reservation is held for something else"}, true
		}
		return nil, true
	}
	if gen.isLeaving() || gen.faults.Refuse {
		return &refusal{http.StatusServiceUnavailable, "overloaded", "the engine takes no work"}, true
	}
	if !gen.makeRoom(res.Tokens+gen.owedBefore(wai), now) {
		return nil, false
	}
	gen.holds[res.ReservationID] = hold{
		id: res.ReservationID, kind: kindReservation, requestID: res.RequestID, owner: res.Owner,
		tokens: res.Tokens, at: now, expiresAt: wai.expiresAt,
	}
	return nil, true
}

// promisedBefore is the memory that a sequence leaves to a reservation which
// has waited longer.
func (gen *Generator) promisedBefore(seq *sequence) int64 {
	if len(gen.waiters) == 0 || seq.queuedAt.Before(gen.waiters[0].at) {
		return 0
	}
	return gen.waiters[0].reservation.Tokens
}

// owedBefore is the memory that a reservation leaves to the most urgent
// sequence if that has waited longer.
func (gen *Generator) owedBefore(wai *waiter) int64 {
	for _, seq := range gen.waiting {
		if !seq.reserved() && seq.queuedAt.Before(wai.at) {
			return seq.total()
		}
	}
	return 0
}

func (gen *Generator) release(wri http.ResponseWriter, htr *http.Request) {
	rel, ok := decode[struct{ ID string }](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.dropHold(rel.ID)
}

func (gen *Generator) dropHold(id string) {
	gen.cache.unpin(gen.holds[id].blocks)
	delete(gen.holds, id)
	gen.grantWaiters(time.Now())
	gen.kick()
}

func (gen *Generator) cancel(wri http.ResponseWriter, htr *http.Request) {
	can, ok := decode[invoker.Free](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if !gen.faults.LoseCancel {
		gen.stop(can)
	}
}

// stop removes a sequence, unless it is of another owner or a newer attempt.
func (gen *Generator) stop(fre invoker.Free) {
	seq := gen.sequences[fre.RequestID]
	if seq != nil && seq.req.Owner == fre.Owner && seq.req.Attempt <= fre.Attempt {
		gen.remove(seq)
		gen.kick()
	}
}

func (gen *Generator) free(wri http.ResponseWriter, htr *http.Request) {
	fre, ok := decode[invoker.Free](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if fre.Kind != kindReservation && fre.Kind != kindExport {
		gen.stop(fre)
		return
	}
	if hol, held := gen.holds[fre.ID]; held && hol.owner == fre.Owner && hol.requestID == fre.RequestID {
		gen.dropHold(fre.ID)
	}
}

// export pins the leading blocks that are cached, for another engine to fetch.
func (gen *Generator) export(wri http.ResponseWriter, htr *http.Request) {
	exp, ok := decode[struct {
		ExportID string
		Owner    invoker.Owner
		Hashes   []uint64
	}](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if _, held := gen.holds[exp.ExportID]; held {
		return
	}
	now := time.Now()
	blos := gen.cache.match(exp.Hashes)
	if len(blos) == 0 {
		refuse(wri, http.StatusNotFound, "not_cached", "none of the blocks is cached")
		return
	}
	gen.cache.pin(blos, now)
	// The pinned blocks count as cache in use, so the hold itself takes nothing.
	gen.holds[exp.ExportID] = hold{id: exp.ExportID, kind: kindExport, owner: exp.Owner, blocks: blos, at: now, expiresAt: now.Add(defaultHold)}
}

func (gen *Generator) fetch(wri http.ResponseWriter, htr *http.Request) {
	gen.mu.Lock()
	hol, held := gen.holds[htr.URL.Query().Get("ExportID")]
	gen.mu.Unlock()
	if !held {
		refuse(wri, http.StatusNotFound, "no_export", "the export is not held")
		return
	}
	_ = json.NewEncoder(wri).Encode(hol.blocks)
}

// imports copies an export of another engine into the cache.
func (gen *Generator) imports(wri http.ResponseWriter, htr *http.Request) {
	imp, ok := decode[struct {
		FromAddress string
		ExportID    string
		Owner       invoker.Owner
	}](wri, htr)
	if !ok {
		return
	}
	blos, err := gen.fetchFrom(htr.Context(), imp.FromAddress, imp.ExportID)
	if err != nil {
		refuse(wri, http.StatusBadGateway, "export_unreachable", err.Error())
		return
	}
	tok := int64(len(blos)) * hasher.BlockTokens
	time.Sleep(time.Duration(float64(tok) / gen.set.TransferRate * float64(time.Second)))
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if !gen.makeRoom(tok, time.Now()) {
		refuse(wri, http.StatusServiceUnavailable, "no_memory", "the engine has not enough free memory")
		return
	}
	gen.cache.store(blos, time.Now())
}

func (gen *Generator) fetchFrom(ctx context.Context, address, id string) ([]uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/kv/fetch?ExportID="+id, nil)
	if err != nil {
		return nil, err
	}
	res, err := gen.peers.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, eris.Errorf("Generator.fetchFrom: %s: status %d", address, res.StatusCode)
	}
	var blos []uint64
	return blos, json.NewDecoder(res.Body).Decode(&blos)
}

// checkHold answers the leader of a group.
func (gen *Generator) checkHold(wri http.ResponseWriter, htr *http.Request) {
	che, ok := decode[invoker.Reservation](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	hol, held := gen.holds[che.ReservationID]
	if !held || hol.owner != che.Owner || hol.tokens < che.Tokens {
		refuse(wri, http.StatusConflict, "not_held", "the reservation is not held")
	}
}

// watchGroup fails a sequence when a member of its group no longer holds its
// share.
func (gen *Generator) watchGroup(ctx context.Context, seq *sequence, req invoker.GenerateRequest) {
	for {
		for _, par := range req.Group[1:] {
			if err := gen.checkMember(ctx, par, req); err != nil && ctx.Err() == nil {
				gen.mu.Lock()
				gen.fail(seq, failure{"group_lost", "engine " + par.Endpoint + " of the group is lost: " + err.Error()})
				gen.mu.Unlock()
				return
			}
		}
		select {
		case <-time.After(groupCheckInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (gen *Generator) checkMember(ctx context.Context, par invoker.Part, req invoker.GenerateRequest) error {
	buf, err := json.Marshal(invoker.Reservation{ReservationID: par.ReservationID, RequestID: req.RequestID, Owner: req.Owner, Tokens: par.Tokens})
	if err != nil {
		return err
	}
	htr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+par.Address+"/v1/group/check", bytes.NewReader(buf))
	if err != nil {
		return err
	}
	res, err := gen.peers.Do(htr)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", res.StatusCode)
	}
	return nil
}
