package orderer

import (
	"context"
	"errors"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/persister"
	"hemlockpin/process/leaser"

	"github.com/rotisserie/eris"
)

const (
	weighTimeout   = 2 * time.Second
	releaseTimeout = 2 * time.Second
)

// WeightStore grants reads of weights at its rate.
type WeightStore interface {
	Weights(ctx context.Context, model, version string) (persister.Weights, error)
}

// Engine takes orders.
type Engine interface {
	Config(ctx context.Context, address string) (invoker.EngineConfig, error)
	GiveOrder(ctx context.Context, address string, ord invoker.Order) error
}

// Issuer gives orders to engines.
type Issuer struct {
	Store   leaser.ObjectStore
	Weights WeightStore
	Engine  Engine
	Host    string
}

// Issue gives one order to an engine and waits for its end until ctx ends. An
// order that is given again under its ID has no second effect.
func (giv *Issuer) Issue(ctx context.Context, endpoint, address string, ord invoker.Order) End {
	hol := &leaser.Holder{Store: giv.Store, Name: "orders-" + endpoint, Host: giv.Host}
	defer giv.release(ctx, hol)
	sta := State{Order: ord}
	var eve Event = Started{}
	for {
		nex, act := sta.Next(eve, time.Now())
		sta = nex
		if end, ok := act.(End); ok {
			return end
		}
		eve = giv.carryOut(ctx, hol, address, ord, act)
	}
}

func (giv *Issuer) release(ctx context.Context, hol *leaser.Holder) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer stop()
	hol.Release(ctx)
}

func (giv *Issuer) carryOut(ctx context.Context, hol *leaser.Holder, address string, ord invoker.Order, act Action) Event {
	switch act := act.(type) {
	case Lease:
		hld, err := hol.Acquire(ctx)
		if err != nil {
			return Expired{err.Error()}
		}
		return Leased{Fence: hld.Fence, Until: hld.Until}
	case RequestWeights:
		return giv.weigh(ctx, ord, act)
	case ReadConfig:
		return giv.read(ctx, address, act)
	case Send:
		return giv.send(ctx, address, act)
	default:
		return Expired{"unexpected action"}
	}
}

// wait pauses and reports false if the time for the order has passed.
func wait(ctx context.Context, dur time.Duration) bool {
	select {
	case <-time.After(dur):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (giv *Issuer) weigh(ctx context.Context, ord invoker.Order, wei RequestWeights) Event {
	if !wait(ctx, wei.Pause) {
		return Expired{"the weight store granted no read in time"}
	}
	ctx, stop := context.WithTimeout(ctx, weighTimeout)
	defer stop()
	_, err := giv.Weights.Weights(ctx, ord.Model, ord.Version)
	switch {
	case err == nil:
		return WeightsGranted{}
	case eris.Is(err, persister.ErrNotFound):
		return Refused{Code: "weights_not_found", Message: err.Error()}
	default:
		return Unavailable{err.Error()}
	}
}

func (giv *Issuer) read(ctx context.Context, address string, rea ReadConfig) Event {
	if !wait(ctx, rea.Pause) {
		return Expired{"the engine's configuration could not be read in time"}
	}
	ctx, stop := context.WithTimeout(ctx, OrderTimeout)
	defer stop()
	cfg, err := giv.Engine.Config(ctx, address)
	if err != nil {
		return Unavailable{err.Error()}
	}
	return ConfigRead{cfg}
}

func (giv *Issuer) send(ctx context.Context, address string, sen Send) Event {
	ctx, stop := context.WithTimeout(ctx, OrderTimeout)
	defer stop()
	err := giv.Engine.GiveOrder(ctx, address, sen.Order)
	var ine *invoker.Error
	switch {
	case err == nil:
		return CarriedOut{}
	case errors.As(err, &ine) && ine.Ran == invoker.NotRun && ine.Code != "":
		return Refused{Code: ine.Code, Message: ine.Err.Error()}
	case errors.As(err, &ine) && ine.Ran == invoker.NotRun:
		return Unavailable{eris.Wrap(err, "Issuer.send").Error()}
	default:
		return NoAnswer{err.Error()}
	}
}
