package invoker

import "context"

// Kinds of orders, the values of Order.Kind.
const (
	LoadModel   = "LoadModel"
	LoadAdapter = "LoadAdapter"
	LoadVersion = "LoadVersion"
	ChangeRole  = "ChangeRole"
)

// Codes with which engines refuse orders.
const (
	CodeStaleFence      = "stale_fence"
	CodeWrongGeneration = "wrong_generation"
)

// EngineConfig is the configuration of an engine.
type EngineConfig struct {
	// Generation starts at 1 and increases by 1 with each order that the engine
	// carries out.
	Generation uint64
	// Fence is the highest fencing number that the engine has seen.
	Fence    uint64
	Models   []string
	Adapters []string
	// Versions maps each model to its loaded version.
	Versions map[string]string
	Role     string
	// Orders are the identifiers of the latest orders, oldest first.
	Orders []string
}

// Config reads the configuration of an engine.
func (inv *Invoker) Config(ctx context.Context, address string) (EngineConfig, error) {
	var cfg EngineConfig
	err := inv.get(ctx, "Invoker.Config", address, "/v1/config", &cfg)
	return cfg, err
}
