package keeper

import (
	"encoding/json"
	"net/http"

	"hemlockpin/connection/persister"

	"github.com/gorilla/mux"
)

// weightBytes is the size of the weights that is reported for every model.
const weightBytes = 14 << 30

// getWeights grants one read of the weights of a model, limited by WeightRate.
func (kee *Keeper) getWeights(wri http.ResponseWriter, req *http.Request) {
	kee.mu.Lock()
	kee.counts.Weights++
	ok := kee.weights.Allow()
	if !ok {
		kee.counts.Limited++
	}
	kee.mu.Unlock()
	if !ok {
		wri.Header().Set("Retry-After", "1")
		wri.WriteHeader(http.StatusTooManyRequests)
		return
	}
	_ = json.NewEncoder(wri).Encode(persister.Weights{Model: mux.Vars(req)["model"], Version: mux.Vars(req)["version"], Bytes: weightBytes})
}

// getChanges serves the accepted writes of an object, oldest first.
func (kee *Keeper) getChanges(wri http.ResponseWriter, req *http.Request) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	changes := kee.changes[mux.Vars(req)["path"]]
	if changes == nil {
		changes = []Change{}
	}
	_ = json.NewEncoder(wri).Encode(changes)
}
