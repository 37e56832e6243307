// Package orderer issues orders to engines: load a model, an adapter or a version, or
// change the role.
//
// An order is issued only under the lease of its engine, with the lease's fencing number
// and the configuration generation to which the order applies, and only while the lease
// lasts longer than an order may take. A host that takes over the lease waits for the end
// of the previous holder's term and a margin before its first order.
//
// The effects depend on what an engine checks:
//   - An engine that checks fencing numbers refuses the orders of an old holder after an
//     order of a new holder.
//   - An engine that checks only the generation also refuses an old order after a new
//     order, since each order changes the generation. If the old order arrives first, it is
//     carried out, and the new order is sent again for the resulting generation.
//   - An engine that checks neither may carry out a delayed order of a paused holder at any
//     time; the issuer cannot prevent this.
//
// The issuer also cannot prevent a delayed order from being carried out if the engine has
// restarted and its generation starts again: the delayed order may match the new
// generation. The next order applies to the configuration that the issuer reads after the
// restart.
package orderer

import (
	"slices"
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// OrderTimeout is the time limit for sending one order or reading a configuration. It
	// is shorter than the margin of a lease.
	OrderTimeout = time.Second
	// maxSends is the greatest number of sends of one order; retryPause is the pause before
	// a step is repeated.
	maxSends   = 4
	retryPause = 100 * time.Millisecond
)

// Effect is the known effect of an order on its engine.
type Effect string

// Effects of an order.
const (
	Applied    Effect = "Applied"
	NotApplied Effect = "NotApplied"
	Unknown    Effect = "Unknown"
)

// State is the progress of one order. It is an immutable value.
type State struct {
	Order invoker.Order

	// leaseUntil is the time until which the lease is held.
	leaseUntil     time.Time
	weightsGranted bool
	sends          int
	// lastWasSend reports that the last action was Send.
	lastWasSend bool
	// mayTakeEffect reports that an unanswered send may still take effect.
	mayTakeEffect bool
}

// Event is the input of an order's State: Started, Leased, WeightsGranted, Unavailable,
// ConfigRead, CarriedOut, Refused, NoAnswer or Expired.
type Event interface{ event() }

// Started starts the order.
type Started struct{}

// Leased reports that the lease of the engine is held.
type Leased struct {
	Fence uint64
	Until time.Time
}

// WeightsGranted reports that the weight store granted a read of the weights.
type WeightsGranted struct{}

// Unavailable reports that the weight store or the engine could not be reached, or could
// not answer now.
type Unavailable struct{ Message string }

// ConfigRead reports the configuration of the engine.
type ConfigRead struct{ Config invoker.EngineConfig }

// CarriedOut reports that the engine carried out the order.
type CarriedOut struct{}

// Refused reports that the engine or the weight store refused the order, which had no
// effect.
type Refused struct{ Code, Message string }

// NoAnswer reports that the engine did not answer an order, so that its effect is unknown.
type NoAnswer struct{ Message string }

// Expired reports that the lease could not be acquired or that the time for the order has
// passed.
type Expired struct{ Message string }

func (Started) event()        {}
func (Leased) event()         {}
func (WeightsGranted) event() {}
func (Unavailable) event()    {}
func (ConfigRead) event()     {}
func (CarriedOut) event()     {}
func (Refused) event()        {}
func (NoAnswer) event()       {}
func (Expired) event()        {}

// Action is what to do next: Lease, RequestWeights, ReadConfig, Send or End.
type Action interface{ action() }

// Lease acquires or renews the lease of the engine.
type Lease struct{}

// RequestWeights requests a read of the weights from the weight store, after Pause.
type RequestWeights struct{ Pause time.Duration }

// ReadConfig reads the configuration of the engine, after Pause.
type ReadConfig struct{ Pause time.Duration }

// Send sends the order to the engine.
type Send struct{ Order invoker.Order }

// End ends the order with its result.
type End struct {
	Effect  Effect
	Code    string `json:",omitempty"`
	Message string `json:",omitempty"`
	// Fence is the fencing number under which the order was issued.
	Fence uint64 `json:",omitempty"`
}

func (Lease) action()          {}
func (RequestWeights) action() {}
func (ReadConfig) action()     {}
func (Send) action()           {}
func (End) action()            {}

// Next returns the state after an event and the next action.
func (sta State) Next(eve Event, now time.Time) (State, Action) {
	wasSend := sta.lastWasSend
	sta.lastWasSend = false
	switch eve := eve.(type) {
	case Started:
		return sta, Lease{}
	case Leased:
		return sta.onLeased(eve)
	case WeightsGranted:
		sta.weightsGranted = true
		return sta, ReadConfig{}
	case Unavailable:
		if wasSend {
			// The engine was not reached, so the send does not count.
			sta.sends--
		}
		return sta.retry()
	case ConfigRead:
		return sta.onConfigRead(eve.Config, now)
	case CarriedOut:
		return sta, End{Effect: Applied, Fence: sta.Order.Fence}
	case Refused:
		return sta.onRefused(eve)
	case NoAnswer:
		sta.mayTakeEffect = true
		return sta, ReadConfig{Pause: retryPause}
	case Expired:
		return sta, sta.end("time_limit", eve.Message)
	default:
		return sta, sta.end("internal", "unknown event")
	}
}

// end ends an order that is not known to have been carried out.
func (sta State) end(code, message string) End {
	eff := NotApplied
	if sta.mayTakeEffect {
		eff = Unknown
	}
	return End{Effect: eff, Code: code, Message: message, Fence: sta.Order.Fence}
}

func (sta State) onLeased(lea Leased) (State, Action) {
	sta.Order.Fence = lea.Fence
	sta.leaseUntil = lea.Until
	if sta.Order.Kind != invoker.ChangeRole && !sta.weightsGranted {
		return sta, RequestWeights{}
	}
	return sta, ReadConfig{}
}

// retry repeats the step that failed because the weight store or the engine was
// unavailable.
func (sta State) retry() (State, Action) {
	if sta.Order.Kind != invoker.ChangeRole && !sta.weightsGranted {
		return sta, RequestWeights{Pause: retryPause}
	}
	return sta, ReadConfig{Pause: retryPause}
}

// onConfigRead returns the next action for the engine's configuration.
func (sta State) onConfigRead(cfg invoker.EngineConfig, now time.Time) (State, Action) {
	switch {
	case slices.Contains(cfg.Orders, sta.Order.ID):
		return sta, End{Effect: Applied, Fence: sta.Order.Fence}
	case cfg.Fence > sta.Order.Fence:
		return sta, sta.end("superseded", "the engine has an order of a newer lease")
	case sta.sends >= maxSends:
		return sta, sta.end("order_failed", "the engine did not carry out the order")
	case !now.Add(OrderTimeout).Before(sta.leaseUntil):
		// The lease could end while the order is sent: renew the lease first.
		return sta, Lease{}
	}
	sta.sends++
	sta.lastWasSend = true
	sta.Order.ExpectedGeneration = cfg.Generation
	return sta, Send{sta.Order}
}

func (sta State) onRefused(ref Refused) (State, Action) {
	switch ref.Code {
	case invoker.CodeWrongGeneration:
		return sta, ReadConfig{}
	case invoker.CodeStaleFence:
		return sta, sta.end("superseded", ref.Message)
	default:
		return sta, sta.end(ref.Code, ref.Message)
	}
}
