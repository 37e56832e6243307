package registrar

import (
	"cmp"
	"strconv"
)

// MaxRevision bounds the revisions of the store and their eras. One above it could not be
// exceeded.
const MaxRevision = 1<<63 - 1

// Revision is a revision of the platform's store. A store that has come back from an older copy
// gives out numbers again, in a later era, so the era is compared first. It is an immutable value;
// the zero value stands for no revision and is before all others.
type Revision struct {
	// Era is 0 for a store that names none.
	Era    uint64
	Number uint64
}

// Compare returns -1 if rev is before other, 0 if they are equal, and 1 if rev is after other.
func (rev Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(rev.Era, other.Era), cmp.Compare(rev.Number, other.Number))
}

// After reports whether rev is after other.
func (rev Revision) After(other Revision) bool { return rev.Compare(other) > 0 }

// IsZero reports whether rev stands for no revision.
func (rev Revision) IsZero() bool { return rev == Revision{} }

// Latest returns the later one of rev and other.
func (rev Revision) Latest(other Revision) Revision {
	if other.After(rev) {
		return other
	}
	return rev
}

// InRange reports whether a revision can be exceeded.
func (rev Revision) InRange() bool { return rev.Era <= MaxRevision && rev.Number <= MaxRevision }

// MarshalJSON returns the number alone, which is what operators of a store without eras know.
func (rev Revision) MarshalJSON() ([]byte, error) {
	return strconv.AppendUint(nil, rev.Number, 10), nil
}
