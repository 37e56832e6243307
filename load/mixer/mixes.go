package mixer

import "time"

// Names of the length classes.
const (
	ClassShort  = "short"
	ClassMedium = "medium"
	ClassLarge  = "large"
	ClassHuge   = "huge"
)

// ShortTokens is the upper bound of short prompts.
const ShortTokens = 4000

// classes returns the four length classes with the given weights. The weight of
// huge prompts, those of at least 100,000 tokens, is always 0.02.
func classes(short, medium, large float64) []Class {
	return []Class{
		{Name: ClassShort, MinTokens: 1000, MaxTokens: ShortTokens, Weight: short, Patience: 5 * time.Second},
		{Name: ClassMedium, MinTokens: ShortTokens, MaxTokens: 32_000, Weight: medium, Patience: 15 * time.Second},
		{Name: ClassLarge, MinTokens: 32_000, MaxTokens: 100_000, Weight: large, Patience: 30 * time.Second},
		{Name: ClassHuge, MinTokens: 100_000, MaxTokens: 1_000_000, Weight: 0.02, Patience: 2 * time.Minute},
	}
}

// teams returns teams of which the large ones send five times as many requests
// as the small ones.
func teams(large, small int) []Team {
	var teas []Team
	for i := range large + small {
		weight := 1.0
		if i < large {
			weight = 5
		}
		teas = append(teas, Team{Key: TeamKey(i), Weight: weight})
	}
	return teas
}

// TeamKey returns the bearer key of the team with an index below TeamCount.
func TeamKey(i int) string { return "key-team-" + string(rune('a'+i)) }

// TeamCount is the number of teams in the mixes.
const TeamCount = 10

// Wijesinghe returns the mix of the repair firm: prompts are questions, repair
// histories and service ledgers; calls are bookings and look-ups of slots.
func Wijesinghe() Mix {
	return Mix{
		Name: "wijesinghe", Model: "pedal-model", Teams: teams(3, TeamCount-3), Classes: classes(0.70, 0.20, 0.08),
		MinAnswer: 8, MaxAnswer: 48, SharedPrefixes: 16, SharedShare: 0.3,
		CallShare: 0.1, OnceShare: 0.5, OncePath: "/bookings", RepeatablePath: "/slots", CallPatience: 2 * time.Second,
	}
}

// PortLouis returns the mix of the postal workshop: mostly short prompts for
// quotes, fewer long prompts, and more calls, for payments and parcel labels.
func PortLouis() Mix {
	return Mix{
		Name: "port-louis", Model: "cobbler-llm", Teams: teams(3, TeamCount-3), Classes: classes(0.83, 0.12, 0.03),
		MinAnswer: 8, MaxAnswer: 32, SharedPrefixes: 8, SharedShare: 0.4,
		CallShare: 0.2, OnceShare: 0.7, OncePath: "/payments", RepeatablePath: "/parcels", CallPatience: 2 * time.Second,
	}
}

// ByName returns the mix with a name and whether there is one.
func ByName(name string) (Mix, bool) {
	for _, mix := range []Mix{Wijesinghe(), PortLouis()} {
		if mix.Name == name {
			return mix, true
		}
	}
	return Mix{}, false
}
