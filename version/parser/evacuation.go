package parser

import (
	"fmt"
	"slices"
)

// Evacuation says that the endpoints of a data centre get no new requests until the entry is
// removed.
type Evacuation struct {
	// Name is the data centre.
	Name string
}

// Evacuated reports whether the endpoints of a data centre get no new requests.
func (tab Tables) Evacuated(dataCenter string) bool {
	return slices.ContainsFunc(tab.Evacuations, func(eva Evacuation) bool { return eva.Name == dataCenter })
}

func (tab Tables) validateEvacuations() []string {
	var faults []string
	found := map[string]bool{}
	for _, eva := range tab.Evacuations {
		if eva.Name == "" {
			faults = append(faults, "evacuation: Name must not be empty")
		}
		if found[eva.Name] {
			faults = append(faults, fmt.Sprintf("evacuation %q: the name stands twice", eva.Name))
		}
		found[eva.Name] = true
	}
	return faults
}
