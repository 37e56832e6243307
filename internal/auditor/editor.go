package auditor

import (
	"context"
	"math/rand/v2"
	"time"

	"hemlockpin/version/parser"
)

const editTimeout = 5 * time.Second

// Edit plays an operator who changes the tables through random hosts until ctx
// ends. Several may run at once and race.
func (aud *Auditor) Edit(ctx context.Context, every time.Duration, seed uint64) {
	ran := rand.New(rand.NewPCG(seed, seed+2))
	for {
		select {
		case <-time.After(time.Duration(ran.ExpFloat64() * float64(every))):
		case <-ctx.Done():
			return
		}
		aud.editOnce(ctx, ran)
	}
}

func (aud *Auditor) editOnce(ctx context.Context, ran *rand.Rand) {
	ctx, stop := context.WithTimeout(ctx, editTimeout)
	defer stop()
	hos := ran.IntN(len(aud.Fleet.Hosts))
	tab, err := aud.Fleet.Tables(ctx, hos)
	if err != nil || tab.Revision == 0 {
		return
	}
	out, err := aud.Fleet.Edit(ctx, hos, changed(tab, ran), tab.Revision)
	if err == nil {
		aud.RecordAccepted(out.Revision)
	}
}

// changed returns the tables with another priority of one route.
func changed(tab parser.Tables, ran *rand.Rand) parser.Tables {
	rous := append([]parser.Route(nil), tab.Routes...)
	rous[0].Priority = 1 + ran.IntN(100)
	tab.Routes = rous
	return tab
}
