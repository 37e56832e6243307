// Package detector finds out that a host was suspended. The steady clock, by which
// ages and deadlines are counted, stands still meanwhile; what the host knows and may do
// grows old all the same.
package detector

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// least is the shortest suspension that counts. The two clocks are read one after the
// other.
const least = 200 * time.Millisecond

// Clocks reads the time since the machine's start, without and with suspensions.
type Clocks func() (steady, whole time.Duration, err error)

// SystemClocks reads the clocks of the machine.
func SystemClocks() (steady, whole time.Duration, err error) {
	var one, two unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &one); err != nil {
		return 0, 0, eris.Wrap(err, "detector.SystemClocks: steady clock")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &two); err != nil {
		return 0, 0, eris.Wrap(err, "detector.SystemClocks: whole clock")
	}
	return time.Duration(one.Nano()), time.Duration(two.Nano()), nil
}

// Detector adds up for how long the host was suspended since the first call. Its zero
// value reads the clocks of the machine.
type Detector struct {
	// Clocks stands in for SystemClocks where it is not nil.
	Clocks Clocks

	mu sync.Mutex
	// offset is how far the clocks were apart at the last suspension.
	offset  time.Duration
	started bool
	slept   time.Duration
	woke    time.Time
}

// Suspensions reports the time for which the host was suspended in all, and when it was last
// found to have woken. Clocks that can't be read show no suspension.
func (det *Detector) Suspensions(now time.Time) (slept time.Duration, woke time.Time) {
	rea := det.Clocks
	if rea == nil {
		rea = SystemClocks
	}
	ste, who, err := rea()
	det.mu.Lock()
	defer det.mu.Unlock()
	if err != nil {
		return det.slept, det.woke
	}
	dif := who - ste - det.offset
	switch {
	case !det.started:
		det.started, det.offset = true, who-ste
	case dif >= least:
		det.offset, det.slept, det.woke = who-ste, det.slept+dif, now
	}
	return det.slept, det.woke
}

// Age is the age of something that was true at a time, with the suspensions since.
func (det *Detector) Age(at, now time.Time) time.Duration {
	sle, wok := det.Suspensions(now)
	age := max(0, now.Sub(at))
	if at.Before(wok) {
		age += sle
	}
	return age
}
