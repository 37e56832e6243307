package auditor

import (
	"context"
	"math/rand/v2"
	"time"

	"hemlockpin/version/parser"
)

const editTimeout = 5 * time.Second

// Edit acts as an operator who changes the tables through random hosts until ctx
// ends. Several calls may run concurrently, so that their edits conflict.
func (aud *Auditor) Edit(ctx context.Context, interval time.Duration, seed uint64) {
	ran := rand.New(rand.NewPCG(seed, seed+2))
	for {
		select {
		case <-time.After(time.Duration(ran.ExpFloat64() * float64(interval))):
		case <-ctx.Done():
			return
		}
		aud.editOnce(ctx, ran)
	}
}

func (aud *Auditor) editOnce(ctx context.Context, ran *rand.Rand) {
	ctx, stop := context.WithTimeout(ctx, editTimeout)
	defer stop()
	host := ran.IntN(len(aud.Fleet.Hosts))
	tab, err := aud.Fleet.Tables(ctx, host)
	if err != nil || tab.Revision == 0 {
		return
	}
	out, err := aud.Fleet.Edit(ctx, host, withRandomPriority(tab, ran), tab.Revision)
	if err == nil {
		aud.RecordAccepted(out.Revision)
	}
}

// withRandomPriority returns the tables with a random priority of the first route.
func withRandomPriority(tab parser.Tables, ran *rand.Rand) parser.Tables {
	rous := append([]parser.Route(nil), tab.Routes...)
	rous[0].Priority = 1 + ran.IntN(100)
	tab.Routes = rous
	return tab
}
