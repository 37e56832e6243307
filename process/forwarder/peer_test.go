package forwarder

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/follower"
	"hemlockpin/process/planner"
	"hemlockpin/process/registrar"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// unresponsiveEngines are engines that do not answer.
type unresponsiveEngines struct{}

func (unresponsiveEngines) Load(context.Context, string) (planner.Load, error) {
	return planner.Load{}, context.DeadlineExceeded
}

func (unresponsiveEngines) Reserve(context.Context, string, string, int64, time.Duration) (bool, error) {
	return false, context.DeadlineExceeded
}

func (unresponsiveEngines) Release(context.Context, string, string) error {
	return context.DeadlineExceeded
}

// newPlannerHost returns a host that plans a pool of two endpoints with batching.
func newPlannerHost(t *testing.T) *Forwarder {
	fwd := newHost(t, 0, 1, 2*time.Second)
	fwd.planRunner.Loader = unresponsiveEngines{}
	fwd.applyTables(follower.Tables{Found: true, Revision: registrar.Revision{Number: 1}, Tables: parser.Tables{
		Revision: 1, Pools: []parser.Pool{{
			Name: "llm", Kind: parser.PoolService, Selector: parser.Selector{Service: "llm"},
			Batching: &parser.Batching{Slots: 4, MemoryTokens: 100_000, StepMs: 1, Stride: 10, ReadRate: 100_000, PairsMs: 0.1},
		}},
	}}, time.Now())
	fwd.applyEndpoints(follower.Endpoints{Complete: true, Revision: registrar.Revision{Number: 1}, Endpoints: []registrar.Endpoint{
		{ID: "e1", Service: "llm", Address: "127.0.0.1:1", Revision: registrar.Revision{Number: 1}}, {ID: "e2", Service: "llm", Address: "127.0.0.1:2", Revision: registrar.Revision{Number: 1}},
	}}, time.Now())
	return fwd
}

// fillMessage sets about three quarters of a message's fields, but no maps, to random and
// mostly invalid values, down to the given depth of nested messages.
func fillMessage(ran *rand.Rand, msg protoreflect.Message, depth int) {
	fies := msg.Descriptor().Fields()
	for i := range fies.Len() {
		fie := fies.Get(i)
		switch {
		case ran.IntN(4) == 0:
			// The field stays unset.
		case fie.IsMap():
			// Maps stay unset.
		case fie.IsList():
			lis := msg.Mutable(fie).List()
			for range ran.IntN(3) {
				if fie.Message() == nil {
					lis.Append(randomScalar(ran, fie))
				} else if val := lis.NewElement(); depth > 0 {
					fillMessage(ran, val.Message(), depth-1)
					lis.Append(val)
				}
			}
		case fie.Message() != nil:
			if depth > 0 {
				fillMessage(ran, msg.Mutable(fie).Message(), depth-1)
			}
		default:
			msg.Set(fie, randomScalar(ran, fie))
		}
	}
}

func randomScalar(ran *rand.Rand, fie protoreflect.FieldDescriptor) protoreflect.Value {
	values := []int64{0, 1, -1, 7, 1 << 20, -1 << 40, 1<<62 - 1, -1 << 62}
	value := values[ran.IntN(len(values))]
	switch fie.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(value%2 == 0)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString([]string{"", "llm", "e1", "host-0", "a/b", "127.0.0.1:1"}[ran.IntN(6)])
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte("{nonsense"))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(ran.IntN(8)))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(value))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(value))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(value))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(value))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(value))
	default:
		return protoreflect.ValueOfInt64(value)
	}
}

// TestUnexpectedMessages sends every kind of peer message to a host, empty and with
// mostly invalid values. Each has to be answered without a panic, and the host has to
// plan requests afterwards.
func TestUnexpectedMessages(t *testing.T) {
	const seeds = 60
	fies := (&messenger.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	for i := range fies.Len() {
		fie := fies.Get(i)
		t.Run(string(fie.Name()), func(t *testing.T) {
			fwd := newPlannerHost(t)
			fwd.multiplexer.OnPanic = func(env *messenger.Envelope, cause any, stack []byte) {
				require.Fail(t, "the handler panicked", "%v: %v\n%s", env, cause, stack)
			}
			for seed := range uint64(seeds) {
				env := &messenger.Envelope{}
				bod := env.ProtoReflect().Mutable(fie).Message()
				if seed > 0 {
					fillMessage(rand.New(rand.NewPCG(seed, 1)), bod, 3)
				}
				if req := env.GetPlanRequest(); req != nil {
					// A long hold would make the call wait for a plan.
					req.HoldMs = min(req.GetHoldMs(), 1)
				}
				buf, err := proto.Marshal(env)
				require.NoError(t, err)
				require.NoError(t, proto.Unmarshal(buf, env))
				ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
				require.NotNil(t, fwd.multiplexer.Handle(ctx, env))
				stop()
			}
			rep := fwd.multiplexer.Handle(t.Context(), &messenger.Envelope{Body: &messenger.Envelope_PlanRequest{PlanRequest: &messenger.PlanRequest{
				Id: "sound", Host: "host-1", Pool: "llm", PromptTokens: 1000, MaxTokens: 100, TargetMs: 1000, BudgetMs: 5000, ObjectiveMs: 1000, PauseMs: 500, HoldMs: 50, Relayed: true,
			}}})
			require.NotNil(t, rep.GetPlanReply(), rep)
			require.Empty(t, rep.GetPlanReply().GetRefusal(), rep)
		})
	}
}
