// Package orderer gives orders to engines: load a model, an adapter or a
// version, change the role.
//
// An order is given only under the lease of its engine, with the lease's fencing
// number and the configuration generation that it is to be applied to, and only
// while the lease lasts longer than an order may take. A taker of the lease
// waits out the old holder's term and a margin before its first order.
//
// What that gives: an engine that checks fencing numbers never carries out an
// order of an old holder after one of a new holder. An engine that ignores them
// but checks the generation never carries out an old holder's order after a new
// one either, since the new order moved the generation; an old order that
// arrives before the new one is carried out first and the new one is given
// again for the generation that it left. An engine that checks neither can
// carry out a delayed order of a paused holder at any time: that can't be had
// from this side. Nor can it where an engine restarts and counts its generations
// anew. The next order then acts on the configuration that it reads.
package orderer

import (
	"slices"
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// OrderTimeout bounds one order. It lies below the margin of a lease.
	OrderTimeout = time.Second
	// maxSends bounds how often one order is given.
	maxSends   = 4
	retryPause = 100 * time.Millisecond
)

// Effect says whether an order was carried out.
type Effect string

// Effects of an order.
const (
	Applied    Effect = "Applied"
	NotApplied Effect = "NotApplied"
	Unknown    Effect = "Unknown"
)

// State is what is known of one order. It is an immutable value.
type State struct {
	Order invoker.Order

	until   time.Time
	weighed bool
	sends   int
	// sending says that the last action was a send.
	sending bool
	// lost says that a send may still take effect.
	lost bool
}

// Event is a step of an order.
type Event interface{ event() }

// Started starts the order.
type Started struct{}

// Leased reports that the lease of the engine is held.
type Leased struct {
	Fence uint64
	Until time.Time
}

// WeightsGranted reports that the weight store granted a read.
type WeightsGranted struct{}

// Unavailable reports that the weight store or the engine could not be asked now.
type Unavailable struct{ Message string }

// ConfigRead reports the configuration of the engine.
type ConfigRead struct{ Config invoker.EngineConfig }

// CarriedOut reports that the engine carried out the order.
type CarriedOut struct{}

// Refused reports that the engine refused the order without effect.
type Refused struct{ Code, Message string }

// NoAnswer reports an order without an answer.
type NoAnswer struct{ Message string }

// Expired reports that the time for the order has passed.
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

// Lease acquires the lease of the engine or prolongs it.
type Lease struct{}

// RequestWeights asks the weight store for a read, after a pause if Pause is set.
type RequestWeights struct{ Pause time.Duration }

// ReadConfig reads the configuration of the engine, after a pause.
type ReadConfig struct{ Pause time.Duration }

// Send gives the order.
type Send struct{ Order invoker.Order }

// End ends the order.
type End struct {
	Effect  Effect
	Code    string `json:",omitempty"`
	Message string `json:",omitempty"`
	// Fence is the fencing number that the order was given under.
	Fence uint64 `json:",omitempty"`
}

func (Lease) action()          {}
func (RequestWeights) action() {}
func (ReadConfig) action()     {}
func (Send) action()           {}
func (End) action()            {}

// Next decides on an event.
func (sta State) Next(eve Event, now time.Time) (State, Action) {
	sent := sta.sending
	sta.sending = false
	switch eve := eve.(type) {
	case Started:
		return sta, Lease{}
	case Leased:
		return sta.leased(eve)
	case WeightsGranted:
		sta.weighed = true
		return sta, ReadConfig{}
	case Unavailable:
		if sent {
			// The engine was not reached, so the send does not count.
			sta.sends--
		}
		return sta.busy()
	case ConfigRead:
		return sta.read(eve.Config, now)
	case CarriedOut:
		return sta, End{Effect: Applied, Fence: sta.Order.Fence}
	case Refused:
		return sta.refused(eve)
	case NoAnswer:
		sta.lost = true
		return sta, ReadConfig{Pause: retryPause}
	case Expired:
		return sta, sta.end("time_limit", eve.Message)
	default:
		return sta, sta.end("internal", "unknown event")
	}
}

// end ends an order that was not seen to be carried out.
func (sta State) end(code, message string) End {
	eff := NotApplied
	if sta.lost {
		eff = Unknown
	}
	return End{Effect: eff, Code: code, Message: message, Fence: sta.Order.Fence}
}

func (sta State) leased(lea Leased) (State, Action) {
	sta.Order.Fence = lea.Fence
	sta.until = lea.Until
	if sta.Order.Kind != invoker.ChangeRole && !sta.weighed {
		return sta, RequestWeights{}
	}
	return sta, ReadConfig{}
}

func (sta State) busy() (State, Action) {
	if sta.Order.Kind != invoker.ChangeRole && !sta.weighed {
		return sta, RequestWeights{Pause: retryPause}
	}
	return sta, ReadConfig{Pause: retryPause}
}

// read decides on the configuration that the engine has.
func (sta State) read(cfg invoker.EngineConfig, now time.Time) (State, Action) {
	switch {
	case slices.Contains(cfg.Orders, sta.Order.ID):
		return sta, End{Effect: Applied, Fence: sta.Order.Fence}
	case cfg.Fence > sta.Order.Fence:
		return sta, sta.end("superseded", "the engine has an order of a newer lease")
	case sta.sends >= maxSends:
		return sta, sta.end("order_failed", "the engine did not carry out the order")
	case !now.Add(OrderTimeout).Before(sta.until):
		return sta, Lease{}
	}
	sta.sends++
	sta.sending = true
	sta.Order.ExpectedGeneration = cfg.Generation
	return sta, Send{sta.Order}
}

func (sta State) refused(ref Refused) (State, Action) {
	switch ref.Code {
	case invoker.CodeWrongGeneration:
		return sta, ReadConfig{}
	case invoker.CodeStaleFence:
		return sta, sta.end("superseded", ref.Message)
	default:
		return sta, sta.end(ref.Code, ref.Message)
	}
}
