package server

import (
	"context"
	"net/http"
	"time"

	"hemlockpin/connection/decoder"
	"hemlockpin/connection/invoker"
	"hemlockpin/connection/persister"
	"hemlockpin/process/orderer"
	"hemlockpin/request/responder"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
)

const (
	defaultOrderTimeout = 15 * time.Second
	maxOrderTimeout     = 5 * time.Minute
	maxOrderBytes       = 64 << 10
)

// OrderRequest asks a host to issue an order to an engine.
type OrderRequest struct {
	Endpoint string
	Kind     string
	Model    string `json:",omitempty"`
	Adapter  string `json:",omitempty"`
	Version  string `json:",omitempty"`
	Role     string `json:",omitempty"`
	// ID is set to repeat an earlier order whose effect is unknown; it is empty for a new
	// order.
	ID string `json:",omitempty"`
	// TimeMs is the time limit of the order in milliseconds; 0 stands for 15 seconds.
	TimeMs int64 `json:",omitempty"`
}

// OrderReply reports the effect of an order.
type OrderReply struct {
	ID string
	orderer.End
	// ChecksFencing reports whether every pool of the engine is declared to check
	// fencing numbers. Otherwise a delayed order of an earlier lease holder is rejected
	// only by the generation of the engine's configuration.
	ChecksFencing bool
}

func (ser *Server) addOrderRoutes(rou *mux.Router) {
	rou.HandleFunc("/v1/orders", ser.postOrder).Methods(http.MethodPost)
}

// faults lists every fault of the request.
func (ord OrderRequest) faults() []string {
	var faults []string
	require := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, fault)
		}
	}
	require(ord.Endpoint != "", "Endpoint is missing")
	require(ord.TimeMs >= 0 && ord.TimeMs <= maxOrderTimeout.Milliseconds(), "TimeMs must be 0 to 300000")
	switch ord.Kind {
	case invoker.LoadModel:
		require(ord.Model != "" && ord.Version != "", "Model or Version is missing")
	case invoker.LoadAdapter:
		require(ord.Model != "" && ord.Version != "" && ord.Adapter != "", "Model, Version or Adapter is missing")
	case invoker.LoadVersion:
		require(ord.Model != "" && ord.Version != "", "Model or Version is missing")
	case invoker.ChangeRole:
		require(ord.Role != "", "Role is missing")
	default:
		require(false, "Kind must be LoadModel, LoadAdapter, LoadVersion or ChangeRole")
	}
	return faults
}

func (ser *Server) postOrder(wri http.ResponseWriter, req *http.Request) {
	var ord OrderRequest
	if err := decoder.Read(http.MaxBytesReader(wri, req.Body, maxOrderBytes), &ord); err != nil {
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
	end := ser.issueOrder(req.Context(), ent, ord)
	responder.WriteJSON(wri, orderStatusCode(end), OrderReply{ID: ord.ID, End: end, ChecksFencing: ser.checksFencing(ent)})
}

// issueOrder issues an order within its time limit, also if the operator disconnects.
func (ser *Server) issueOrder(ctx context.Context, ent persister.Entry, ord OrderRequest) orderer.End {
	timeout := defaultOrderTimeout
	if ord.TimeMs > 0 {
		timeout = time.Duration(ord.TimeMs) * time.Millisecond
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer stop()
	iss := &orderer.Issuer{Store: ser.persister, Weights: ser.persister, Engine: ser.invoker, Host: ser.Settings.HostID}
	end := iss.Issue(ctx, ent.ID, ent.Address, invoker.Order{
		ID: ord.ID, Kind: ord.Kind, Model: ord.Model, Adapter: ord.Adapter, Version: ord.Version, Role: ord.Role,
	})
	ser.scope.Tagged(map[string]string{"effect": string(end.Effect)}).Counter("orders").Inc(1)
	ser.Log.Info().Str("Endpoint", ent.ID).Str("Kind", ord.Kind).Str("Effect", string(end.Effect)).Uint64("Fence", end.Fence).Msg("order to the engine ended; its effect is returned to the operator")
	return end
}

func orderStatusCode(end orderer.End) int {
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

// checksFencing reports whether there are pools of the engine's service and all of them
// declare that their endpoints check fencing numbers.
func (ser *Server) checksFencing(ent persister.Entry) bool {
	found := false
	for _, poo := range ser.publisher.Current().Tables().Pools {
		if poo.Selector.Service != ent.Service {
			continue
		}
		found = true
		if !poo.ChecksFencing {
			return false
		}
	}
	return found
}
