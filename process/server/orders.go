package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/persister"
	"hemlockpin/process/orderer"
	"hemlockpin/request/responder"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
)

const (
	defaultOrderTime = 15 * time.Second
	maxOrderTime     = 5 * time.Minute
	maxOrderBytes    = 64 << 10
)

// OrderRequest asks a host to give an order to an engine.
type OrderRequest struct {
	Endpoint string
	Kind     string
	Model    string `json:",omitempty"`
	Adapter  string `json:",omitempty"`
	Version  string `json:",omitempty"`
	Role     string `json:",omitempty"`
	// ID repeats an order whose effect was unknown; empty for a new one.
	ID string `json:",omitempty"`
	// TimeMs bounds the order; 0 stands for 15 seconds.
	TimeMs int64 `json:",omitempty"`
}

// OrderReply says what became of an order.
type OrderReply struct {
	ID string
	orderer.End
	// ChecksFencing says whether every pool of the engine is declared to check
	// fencing numbers. Otherwise only the generation of the engine's
	// configuration keeps out a delayed order of an earlier lease holder.
	ChecksFencing bool
}

func (ser *Server) orderRoutes(rou *mux.Router) {
	rou.HandleFunc("/v1/orders", ser.postOrder).Methods(http.MethodPost)
}

// faults lists every fault of the request.
func (ord OrderRequest) faults() []string {
	var fas []string
	need := func(ok bool, fault string) {
		if !ok {
			fas = append(fas, fault)
		}
	}
	need(ord.Endpoint != "", "Endpoint is missing")
	need(ord.TimeMs >= 0 && ord.TimeMs <= maxOrderTime.Milliseconds(), "TimeMs must be 0 to 300000")
	switch ord.Kind {
	case invoker.LoadModel:
		need(ord.Model != "" && ord.Version != "", "Model or Version is missing")
	case invoker.LoadAdapter:
		need(ord.Model != "" && ord.Version != "" && ord.Adapter != "", "Model, Version or Adapter is missing")
	case invoker.LoadVersion:
		need(ord.Model != "" && ord.Version != "", "Model or Version is missing")
	case invoker.ChangeRole:
		need(ord.Role != "", "Role is missing")
	default:
		need(false, "Kind must be LoadModel, LoadAdapter, LoadVersion or ChangeRole")
	}
	return fas
}

func (ser *Server) postOrder(wri http.ResponseWriter, req *http.Request) {
	var ord OrderRequest
	if err := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxOrderBytes)).Decode(&ord); err != nil {
		responder.WriteJSON(wri, http.StatusBadRequest, OperatorError{Code: "bad_order", Message: err.Error()})
		return
	}
	if fas := ord.faults(); len(fas) > 0 {
		responder.WriteJSON(wri, http.StatusUnprocessableEntity, OperatorError{Code: "rejected", Message: "the order has faults; nothing was sent", Faults: fas})
		return
	}
	ent, ok := ser.engine(ord.Endpoint)
	if !ok {
		responder.WriteJSON(wri, http.StatusNotFound, OperatorError{Code: "unknown_endpoint", Message: "the platform lists no engine " + ord.Endpoint})
		return
	}
	if ord.ID == "" {
		ord.ID = uuid.NewString()
	}
	end := ser.giveOrder(req.Context(), ent, ord)
	responder.WriteJSON(wri, orderStatus(end), OrderReply{ID: ord.ID, End: end, ChecksFencing: ser.checksFencing(ent)})
}

// giveOrder goes on when the operator leaves, up to its time.
func (ser *Server) giveOrder(ctx context.Context, ent persister.Entry, ord OrderRequest) orderer.End {
	dur := defaultOrderTime
	if ord.TimeMs > 0 {
		dur = time.Duration(ord.TimeMs) * time.Millisecond
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), dur)
	defer stop()
	giv := &orderer.Issuer{Store: ser.persister, Weights: ser.persister, Engine: ser.invoker, Host: ser.Settings.HostID}
	end := giv.Issue(ctx, ent.ID, ent.Address, invoker.Order{
		ID: ord.ID, Kind: ord.Kind, Model: ord.Model, Adapter: ord.Adapter, Version: ord.Version, Role: ord.Role,
	})
	ser.scope.Tagged(map[string]string{"effect": string(end.Effect)}).Counter("orders").Inc(1)
	ser.Log.Info().Str("Endpoint", ent.ID).Str("Kind", ord.Kind).Str("Effect", string(end.Effect)).Uint64("Fence", end.Fence).Msg("order ended")
	return end
}

func orderStatus(end orderer.End) int {
	switch end.Effect {
	case orderer.Applied:
		return http.StatusOK
	case orderer.NotApplied:
		return http.StatusConflict
	default:
		return http.StatusGatewayTimeout
	}
}

func (ser *Server) engine(id string) (persister.Entry, bool) {
	for _, ent := range ser.watcher.Entries() {
		if ent.ID == id && ent.Kind == persister.KindEngine {
			return ent, true
		}
	}
	return persister.Entry{}, false
}

// checksFencing reports whether some pool has the engine and all that do
// declare that their endpoints check fencing numbers.
func (ser *Server) checksFencing(ent persister.Entry) bool {
	fou := false
	for _, poo := range ser.publisher.Current().Tables().Pools {
		if poo.Selector.Service != ent.Service {
			continue
		}
		fou = true
		if !poo.ChecksFencing {
			return false
		}
	}
	return fou
}
