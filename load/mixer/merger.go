package mixer

// numbersPerStream is the distance between the first request numbers of two
// streams, so that numbers, and with them prompts, are unique.
const numbersPerStream = 1_000_000_000

// Stream is the requests of one team with their own rate, in requests a second,
// and seed, so that they are the same whatever other streams are sent.
type Stream struct {
	Team Team
	Rate float64
	Seed uint64
}

// Merger merges the requests of several mixers in the order of their times. Use
// Merge or MergeStreams.
type Merger struct {
	mixers  []*Mixer
	pending []Request
}

// Merge returns a merger of mixers.
func Merge(mixers ...*Mixer) *Merger {
	mer := &Merger{mixers: mixers}
	for _, mi := range mixers {
		mer.pending = append(mer.pending, mi.Next())
	}
	return mer
}

// MergeStreams returns a merger of streams of one mix.
func MergeStreams(mix Mix, strs []Stream) *Merger {
	var mixers []*Mixer
	for i, str := range strs {
		mi := New(mix.WithTeams([]Team{str.Team}), str.Rate, str.Seed)
		mi.count = i * numbersPerStream
		mixers = append(mixers, mi)
	}
	return Merge(mixers...)
}

// Next returns the earliest request that was not returned yet.
func (mer *Merger) Next() Request {
	first := 0
	for i, head := range mer.pending {
		if head.At < mer.pending[first].At {
			first = i
		}
	}
	req := mer.pending[first]
	mer.pending[first] = mer.mixers[first].Next()
	return req
}
