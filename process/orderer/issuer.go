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
	// weightsTimeout is the time limit for one request to the weight store, releaseTimeout
	// that for the release of a lease.
	weightsTimeout = 2 * time.Second
	releaseTimeout = 2 * time.Second
)

// WeightStore grants reads of weights at a limited rate.
type WeightStore interface {
	Weights(ctx context.Context, model, version string) (persister.Weights, error)
}

// EngineClient reads the configuration of an engine and sends orders to it.
type EngineClient interface {
	Config(ctx context.Context, address string) (invoker.EngineConfig, error)
	SendOrder(ctx context.Context, address string, ord invoker.Order) error
}

// Issuer issues orders to engines.
type Issuer struct {
	Store   leaser.ObjectStore
	Weights WeightStore
	Engine  EngineClient
	Host    string
}

// Issue issues one order to an engine and waits until the order ends or ctx ends. An order
// that is issued again under the same ID has no second effect.
func (iss *Issuer) Issue(ctx context.Context, endpoint, address string, ord invoker.Order) End {
	hol := &leaser.Holder{Store: iss.Store, Name: "orders-" + endpoint, Host: iss.Host}
	defer iss.release(ctx, hol)
	sta := State{Order: ord}
	var eve Event = Started{}
	for {
		next, act := sta.Next(eve, time.Now())
		sta = next
		if end, ok := act.(End); ok {
			return end
		}
		eve = iss.perform(ctx, hol, address, ord, act)
	}
}

func (iss *Issuer) release(ctx context.Context, hol *leaser.Holder) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer stop()
	hol.Release(ctx)
}

func (iss *Issuer) perform(ctx context.Context, hol *leaser.Holder, address string, ord invoker.Order, act Action) Event {
	switch act := act.(type) {
	case Lease:
		lease, err := hol.Acquire(ctx)
		if err != nil {
			return Expired{err.Error()}
		}
		return Leased{Fence: lease.Fence, Until: lease.Until}
	case RequestWeights:
		return iss.requestWeights(ctx, ord, act)
	case ReadConfig:
		return iss.readConfig(ctx, address, act)
	case Send:
		return iss.send(ctx, address, act)
	default:
		// Unreachable: Issue handles End, the cases above all other actions.
		return Expired{"unexpected action"}
	}
}

// wait waits for a pause and returns false if the time for the order has passed.
func wait(ctx context.Context, dur time.Duration) bool {
	select {
	case <-time.After(dur):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (iss *Issuer) requestWeights(ctx context.Context, ord invoker.Order, act RequestWeights) Event {
	if !wait(ctx, act.Pause) {
		return Expired{"the weight store granted no read in time"}
	}
	ctx, stop := context.WithTimeout(ctx, weightsTimeout)
	defer stop()
	_, err := iss.Weights.Weights(ctx, ord.Model, ord.Version)
	switch {
	case err == nil:
		return WeightsGranted{}
	case eris.Is(err, persister.ErrNotFound):
		return Refused{Code: "weights_not_found", Message: err.Error()}
	default:
		return Unavailable{err.Error()}
	}
}

func (iss *Issuer) readConfig(ctx context.Context, address string, act ReadConfig) Event {
	if !wait(ctx, act.Pause) {
		return Expired{"the engine's configuration could not be read in time"}
	}
	ctx, stop := context.WithTimeout(ctx, OrderTimeout)
	defer stop()
	cfg, err := iss.Engine.Config(ctx, address)
	if err != nil {
		return Unavailable{err.Error()}
	}
	return ConfigRead{cfg}
}

func (iss *Issuer) send(ctx context.Context, address string, act Send) Event {
	ctx, stop := context.WithTimeout(ctx, OrderTimeout)
	defer stop()
	err := iss.Engine.SendOrder(ctx, address, act.Order)
	var invErr *invoker.Error
	switch {
	case err == nil:
		return CarriedOut{}
	case errors.As(err, &invErr) && invErr.Execution == invoker.NotRun && invErr.Code != "":
		return Refused{Code: invErr.Code, Message: invErr.Err.Error()}
	case errors.As(err, &invErr) && invErr.Execution == invoker.NotRun:
		return Unavailable{eris.Wrap(err, "Issuer.send").Error()}
	default:
		return NoAnswer{err.Error()}
	}
}
