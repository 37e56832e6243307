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
	// defaultHoldTime is the time to expiry of an export, and of a reservation
	// whose owner gave no budget.
	defaultHoldTime = 10 * time.Minute

	kindReservation = "Reservation"
	kindExport      = "Export"
)

// hold is memory reserved for a request of a group, or the pinned blocks of an
// export.
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
	budget := time.Duration(res.BudgetMs) * time.Millisecond
	if budget == 0 {
		budget = defaultHoldTime
	}
	now := time.Now()
	wai := &waiter{reservation: res, at: now, expiresAt: now.Add(budget), ready: make(chan *refusal, 1)}
	gen.mu.Lock()
	gen.addWaiter(wai)
	gen.grantWaiters(wai.at)
	gen.mu.Unlock()
	if ref := gen.awaitHold(htr.Context(), wai); ref != nil {
		refuse(wri, ref.status, ref.code, ref.message)
	}
}

// waiter is a reservation request that waits for memory.
type waiter struct {
	reservation invoker.Reservation
	at          time.Time
	expiresAt   time.Time
	ready       chan *refusal
}

// addWaiter queues a reservation request in the order of expiry, so that a
// request that is retried with the rest of its budget moves forward.
func (gen *Generator) addWaiter(wai *waiter) {
	i, _ := slices.BinarySearchFunc(gen.waiters, wai, func(a, b *waiter) int {
		return a.expiresAt.Compare(b.expiresAt)
	})
	gen.waiters = slices.Insert(gen.waiters, i, wai)
}

func (gen *Generator) awaitHold(ctx context.Context, wai *waiter) *refusal {
	timer := time.NewTimer(time.Duration(wai.reservation.WaitMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case ref := <-wai.ready:
		return ref
	case <-timer.C:
	case <-ctx.Done():
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.waiters = slices.DeleteFunc(gen.waiters, func(other *waiter) bool { return other == wai })
	select {
	case ref := <-wai.ready:
		return ref
	default:
		gen.wakeUp()
		return &refusal{http.StatusServiceUnavailable, "no_memory", "the engine has not enough free memory"}
	}
}

// grantWaiters decides the waiting reservation requests in the order of the
// queue, up to the first one that lacks memory.
func (gen *Generator) grantWaiters(now time.Time) {
	for len(gen.waiters) > 0 {
		wai := gen.waiters[0]
		ref, done := gen.tryGrant(wai, now)
		if !done {
			return
		}
		gen.waiters = gen.waiters[1:]
		wai.ready <- ref
	}
}

// tryGrant grants or refuses a reservation. It returns false if the reservation
// has to wait for memory, and a nil refusal if it is granted.
func (gen *Generator) tryGrant(wai *waiter, now time.Time) (*refusal, bool) {
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
	if !gen.makeRoom(res.Tokens+gen.neededAhead(wai), now) {
		return nil, false
	}
	gen.holds[res.ReservationID] = hold{
		id: res.ReservationID, kind: kindReservation, requestID: res.RequestID, owner: res.Owner,
		tokens: res.Tokens, at: now, expiresAt: wai.expiresAt,
	}
	return nil, true
}

// reservedAhead returns the memory that must stay free for the first waiting
// reservation because it has waited longer than the sequence.
func (gen *Generator) reservedAhead(seq *sequence) int64 {
	if len(gen.waiters) == 0 || seq.queuedAt.Before(gen.waiters[0].at) {
		return 0
	}
	return gen.waiters[0].reservation.Tokens
}

// neededAhead returns the memory that must stay free for a waiting sequence
// because it has waited longer than the reservation: that of the first such
// sequence in the order of priority.
func (gen *Generator) neededAhead(wai *waiter) int64 {
	for _, seq := range gen.waiting {
		if !seq.reserved() && seq.queuedAt.Before(wai.at) {
			return seq.contextTokens()
		}
	}
	return 0
}

func (gen *Generator) release(wri http.ResponseWriter, htr *http.Request) {
	body, ok := decode[struct{ ID string }](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.dropHold(body.ID)
}

func (gen *Generator) dropHold(id string) {
	gen.cache.unpin(gen.holds[id].blocks)
	delete(gen.holds, id)
	gen.grantWaiters(time.Now())
	gen.wakeUp()
}

func (gen *Generator) cancel(wri http.ResponseWriter, htr *http.Request) {
	fre, ok := decode[invoker.FreeRequest](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if !gen.faults.LoseCancel {
		gen.removeOwned(fre)
	}
}

// removeOwned removes a sequence, unless it belongs to another owner or a newer
// attempt.
func (gen *Generator) removeOwned(fre invoker.FreeRequest) {
	seq := gen.sequences[fre.RequestID]
	if seq != nil && seq.req.Owner == fre.Owner && seq.req.Attempt <= fre.Attempt {
		gen.remove(seq)
		gen.wakeUp()
	}
}

func (gen *Generator) free(wri http.ResponseWriter, htr *http.Request) {
	fre, ok := decode[invoker.FreeRequest](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if fre.Kind != kindReservation && fre.Kind != kindExport {
		gen.removeOwned(fre)
		return
	}
	if hol, held := gen.holds[fre.ID]; held && hol.owner == fre.Owner && hol.requestID == fre.RequestID {
		gen.dropHold(fre.ID)
	}
}

// exportBlocks pins the longest cached prefix of the requested blocks, so that
// another engine can fetch it.
func (gen *Generator) exportBlocks(wri http.ResponseWriter, htr *http.Request) {
	body, ok := decode[struct {
		ExportID string
		Owner    invoker.Owner
		Hashes   []uint64
	}](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if _, held := gen.holds[body.ExportID]; held {
		return
	}
	now := time.Now()
	hashes := gen.cache.match(body.Hashes)
	if len(hashes) == 0 {
		refuse(wri, http.StatusNotFound, "not_cached", "none of the blocks is cached")
		return
	}
	gen.cache.pin(hashes, now)
	// The pinned blocks already count as used memory, so the hold has no tokens.
	gen.holds[body.ExportID] = hold{id: body.ExportID, kind: kindExport, owner: body.Owner, blocks: hashes, at: now, expiresAt: now.Add(defaultHoldTime)}
}

func (gen *Generator) fetchExport(wri http.ResponseWriter, htr *http.Request) {
	gen.mu.Lock()
	hol, held := gen.holds[htr.URL.Query().Get("ExportID")]
	gen.mu.Unlock()
	if !held {
		refuse(wri, http.StatusNotFound, "no_export", "the export is not held")
		return
	}
	_ = json.NewEncoder(wri).Encode(hol.blocks)
}

// importBlocks copies an export of another engine into the prefix cache.
func (gen *Generator) importBlocks(wri http.ResponseWriter, htr *http.Request) {
	body, ok := decode[struct {
		FromAddress string
		ExportID    string
		Owner       invoker.Owner
	}](wri, htr)
	if !ok {
		return
	}
	hashes, err := gen.fetchFrom(htr.Context(), body.FromAddress, body.ExportID)
	if err != nil {
		refuse(wri, http.StatusBadGateway, "export_unreachable", err.Error())
		return
	}
	tokens := int64(len(hashes)) * hasher.BlockTokens
	time.Sleep(time.Duration(float64(tokens) / gen.set.TransferRate * float64(time.Second)))
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if !gen.makeRoom(tokens, time.Now()) {
		refuse(wri, http.StatusServiceUnavailable, "no_memory", "the engine has not enough free memory")
		return
	}
	gen.cache.store(hashes, time.Now())
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
	var hashes []uint64
	return hashes, json.NewDecoder(res.Body).Decode(&hashes)
}

// checkHold answers the leader of a group, which checks that this member still
// holds its part of the memory.
func (gen *Generator) checkHold(wri http.ResponseWriter, htr *http.Request) {
	res, ok := decode[invoker.Reservation](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	hol, held := gen.holds[res.ReservationID]
	if !held || hol.owner != res.Owner || hol.tokens < res.Tokens {
		refuse(wri, http.StatusConflict, "not_held", "the reservation is not held")
	}
}

// watchGroup fails a sequence when a member of its group no longer holds its
// part of the memory or does not answer.
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
