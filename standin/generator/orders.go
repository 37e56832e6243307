package generator

import (
	"encoding/json"
	"net/http"
	"slices"

	"hemlockpin/connection/invoker"
)

// maxOrders is the number of order IDs that the engine remembers.
const maxOrders = 64

// config is the state that orders change. Its zero value is the initial
// configuration.
type config struct {
	changes  uint64
	fence    uint64
	role     string
	adapters []string
	versions map[string]string
	orders   []string
}

func (con *config) roleOr(role string) string {
	if con.role == "" {
		return role
	}
	return con.role
}

func (gen *Generator) engineConfig() invoker.EngineConfig {
	con := &gen.config
	return invoker.EngineConfig{
		Generation: con.changes + 1, Fence: con.fence, Models: gen.set.Models, Adapters: con.adapters, Versions: con.versions,
		Role: con.roleOr("Serve"), Orders: con.orders,
	}
}

func (gen *Generator) getConfig(wri http.ResponseWriter, _ *http.Request) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	_ = json.NewEncoder(wri).Encode(gen.engineConfig())
}

// handleOrder carries out an order once. It checks the fencing number only with
// ChecksFence set, and the generation whenever the order has one.
func (gen *Generator) handleOrder(wri http.ResponseWriter, htr *http.Request) {
	ord, ok := decode[invoker.Order](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	con := &gen.config
	switch {
	case slices.Contains(con.orders, ord.ID):
		return
	case gen.set.ChecksFence && ord.Fence < con.fence:
		refuse(wri, http.StatusConflict, invoker.CodeStaleFence, "an order with a newer fencing number was seen")
		return
	case ord.ExpectedGeneration != 0 && ord.ExpectedGeneration != con.changes+1:
		refuse(wri, http.StatusConflict, invoker.CodeWrongGeneration, "the configuration has another generation")
		return
	case !gen.apply(ord):
		refuse(wri, http.StatusBadRequest, "bad_order", "the order is not known")
		return
	}
	con.fence = max(con.fence, ord.Fence)
	con.changes++
	con.orders = append(con.orders, ord.ID)
	if len(con.orders) > maxOrders {
		con.orders = con.orders[1:]
	}
}

func (gen *Generator) apply(ord invoker.Order) bool {
	con := &gen.config
	switch ord.Kind {
	case invoker.LoadModel:
		if !slices.Contains(gen.set.Models, ord.Model) {
			gen.set.Models = append(slices.Clone(gen.set.Models), ord.Model)
		}
	case invoker.LoadAdapter:
		con.adapters = append(con.adapters, ord.Adapter)
	case invoker.LoadVersion:
		if con.versions == nil {
			con.versions = map[string]string{}
		}
		con.versions[ord.Model] = ord.Version
	case invoker.ChangeRole:
		con.role = ord.Role
	default:
		return false
	}
	return true
}
