// Package detector detects that a host was suspended. The monotonic clock, which measures
// ages and deadlines, stands still during a suspension, although the host's state becomes
// stale and its leases and grants expire.
package detector

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that counts. The two clocks are read one after
// the other, so small differences are no suspension.
const minSuspension = 200 * time.Millisecond

// Clocks returns the time since the boot of the host, without (monotonic) and with (boot)
// suspensions.
type Clocks func() (monotonic, boot time.Duration, err error)

// SystemClocks reads the host's clocks CLOCK_MONOTONIC and CLOCK_BOOTTIME.
func SystemClocks() (monotonic, boot time.Duration, err error) {
	var mono, bootTime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono); err != nil {
		return 0, 0, eris.Wrap(err, "detector.SystemClocks: monotonic clock")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime); err != nil {
		return 0, 0, eris.Wrap(err, "detector.SystemClocks: boot-time clock")
	}
	return time.Duration(mono.Nano()), time.Duration(bootTime.Nano()), nil
}

// Detector adds up the time for which the host was suspended since the first call of
// Suspensions. Its zero value reads the host's clocks.
type Detector struct {
	// Clocks replaces SystemClocks if it is not nil.
	Clocks Clocks

	mu sync.Mutex
	// clockOffset is the boot clock minus the monotonic clock, as of the last suspension
	// or, before any suspension, as of the first call.
	clockOffset      time.Duration
	clockOffsetKnown bool
	suspended        time.Duration
	resumedAt        time.Time
}

// Suspensions returns the total time for which the host was suspended, and the time at
// which the last suspension was detected. While the clocks cannot be read, no suspension
// is detected.
func (det *Detector) Suspensions(now time.Time) (suspended time.Duration, resumedAt time.Time) {
	readClocks := det.Clocks
	if readClocks == nil {
		readClocks = SystemClocks
	}
	monotonic, boot, err := readClocks()
	det.mu.Lock()
	defer det.mu.Unlock()
	if err != nil {
		return det.suspended, det.resumedAt
	}
	suspension := boot - monotonic - det.clockOffset
	switch {
	case !det.clockOffsetKnown:
		det.clockOffsetKnown, det.clockOffset = true, boot-monotonic
	case suspension >= minSuspension:
		det.clockOffset, det.suspended, det.resumedAt = boot-monotonic, det.suspended+suspension, now
	}
	return det.suspended, det.resumedAt
}

// Age returns the age at now of data that was current at the time at. If a suspension was
// detected after at, the total time of all suspensions is added, also of those before at,
// so the age may be too high.
func (det *Detector) Age(at, now time.Time) time.Duration {
	suspended, resumedAt := det.Suspensions(now)
	age := max(0, now.Sub(at))
	if at.Before(resumedAt) {
		age += suspended
	}
	return age
}
