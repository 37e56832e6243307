package mixer

// streamNumbers is the span of request numbers of a stream.
const streamNumbers = 1_000_000_000

// Stream is a part of a load with a rate and a seed of its own, so that it
// stays the same whatever other streams are sent beside it.
type Stream struct {
	Team Team
	Rate float64
	Seed uint64
}

// Merger draws the requests of several mixers in the order of their times. Use
// Merge or MergeStreams.
type Merger struct {
	mis   []*Mixer
	heads []Request
}

// Merge starts a drawing from all mixers.
func Merge(mis ...*Mixer) *Merger {
	mer := &Merger{mis: mis}
	for _, mi := range mis {
		mer.heads = append(mer.heads, mi.Next())
	}
	return mer
}

// MergeStreams starts a drawing from streams of one mix.
func MergeStreams(mix Mix, strs []Stream) *Merger {
	var mis []*Mixer
	for ind, str := range strs {
		mi := New(mix.WithTeams([]Team{str.Team}), str.Rate, str.Seed)
		mi.count = ind * streamNumbers
		mis = append(mis, mi)
	}
	return Merge(mis...)
}

// Next draws the next request.
func (mer *Merger) Next() Request {
	fir := 0
	for ind, hea := range mer.heads {
		if hea.At < mer.heads[fir].At {
			fir = ind
		}
	}
	req := mer.heads[fir]
	mer.heads[fir] = mer.mis[fir].Next()
	return req
}
