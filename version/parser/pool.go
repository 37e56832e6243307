package parser

import (
	"fmt"
	"slices"
	"strings"
)

// PoolKind is the kind of a pool's endpoints.
type PoolKind string

// Kinds of pools.
const (
	PoolEngine  PoolKind = "Engine"
	PoolService PoolKind = "Service"
)

// Selector selects the endpoints of a pool from the platform's list: the endpoints of
// Service in DataCenters or, if DataCenters is empty, in all data centres.
type Selector struct {
	Service     string
	DataCenters []string `json:",omitempty"`
}

// Pool names a group of endpoints.
type Pool struct {
	Name     string
	Kind     PoolKind
	Selector Selector
	// MaxOutstanding bounds the requests on one endpoint; 0 means no bound.
	MaxOutstanding int `json:",omitempty"`
	// MaxWaiting bounds the requests that wait for the pool on one host; 0 means
	// the default of 1000.
	MaxWaiting int `json:",omitempty"`
	// ChecksFencing means that the endpoints refuse orders with an outdated fencing
	// number.
	ChecksFencing bool `json:",omitempty"`
	// LongShare is the share of the engines, 0 to 1, that long prompts may
	// occupy at a time; 0 means that each host derives the share from the recent load.
	LongShare float64 `json:",omitempty"`
	// Overflow lists the regions that accept requests of the pool that the
	// caller's region cannot serve in time. AnyRegion means all regions; an empty
	// list means no overflow.
	Overflow []string `json:",omitempty"`
	// HealthPath is the path of the endpoints' health check.
	HealthPath string `json:",omitempty"`
	// MaxConnections bounds the connections to one endpoint from all callers; 0
	// means no bound.
	MaxConnections int `json:",omitempty"`
	// ColdRate is the number of calls a second that all hosts together may send to an endpoint that
	// is cold, as after its start; 0 means no bound. ColdStart is how long an endpoint stays cold.
	ColdRate  float64  `json:",omitempty"`
	ColdStart Duration `json:",omitempty"`
	// Batching describes the engines of a pool to which prompts are forwarded; nil
	// for pools of plain services.
	Batching *Batching `json:",omitempty"`
}

// Batching holds the parameters of an engine with continuous batching and chunked
// prefill: each decode step generates one token of every answer in progress, and
// prompts are prefilled in chunks along with these steps.
type Batching struct {
	// Slots is the number of requests that an engine can prefill or decode at once.
	Slots int
	// MemoryTokens is the size in tokens of an engine's memory for prompts and
	// answers.
	MemoryTokens int64
	// StepMs is the base time of a decode step in milliseconds. SequenceMs is added
	// for each answer, and ContextMs for each thousand tokens of the answers'
	// contexts.
	StepMs     float64
	SequenceMs float64
	ContextMs  float64
	// Stride is the number of decode steps after which an engine sends an event.
	Stride int
	// ReadRate is the prefill rate in prompt tokens per second. PairsMs is the
	// additional prefill time in milliseconds for each million pairs of a token and
	// an earlier token.
	ReadRate float64
	PairsMs  float64
	// ChunkTokens is the maximum number of prompt tokens prefilled along with
	// one decode step.
	ChunkTokens int64
	// HopMs is the time in milliseconds added to each decode step of an answer whose prompt is divided
	// among several engines.
	HopMs float64
	// ReportLagMs is the age in milliseconds of an engine's load report when it
	// arrives.
	ReportLagMs float64
	// UsualPrompt and UsualAnswer are the mean lengths of prompts and answers in
	// tokens.
	UsualPrompt int64
	UsualAnswer int64
	// Delays are those between data centres; a link that is left out has none.
	Delays []LinkDelay `json:",omitempty"`
}

// LinkDelay is the delay between two data centres in milliseconds, one way, in either direction.
type LinkDelay struct {
	From string
	To   string
	Ms   float64
}

// AnyRegion in Overflow means all regions.
const AnyRegion = "*"

// AcceptsOverflow reports whether a region accepts requests of the pool from other
// regions.
func (poo Pool) AcceptsOverflow(region string) bool {
	return slices.Contains(poo.Overflow, region) || slices.Contains(poo.Overflow, AnyRegion)
}

// Defaults returns the pool with defaults for empty fields.
func (poo Pool) Defaults() Pool {
	if poo.MaxWaiting == 0 {
		poo.MaxWaiting = 1000
	}
	return poo
}

// Validate returns a message for every fault of the pool, except for conflicts
// with other entries of the tables.
func (poo Pool) Validate() []string {
	var faults []string
	if !validName(poo.Name) {
		faults = append(faults, fmt.Sprintf("pool %q: Name must be 1 to 63 of a-z, 0-9 and -", poo.Name))
	}
	if poo.Kind != PoolEngine && poo.Kind != PoolService {
		faults = append(faults, fmt.Sprintf("pool %q: Kind %q must be Engine or Service", poo.Name, poo.Kind))
	}
	if poo.Selector.Service == "" {
		faults = append(faults, fmt.Sprintf("pool %q: Selector.Service is missing", poo.Name))
	}
	if poo.MaxOutstanding < 0 || poo.MaxWaiting < 0 {
		faults = append(faults, fmt.Sprintf("pool %q: limits must not be negative", poo.Name))
	}
	if poo.LongShare < 0 || poo.LongShare > 1 {
		faults = append(faults, fmt.Sprintf("pool %q: LongShare %g is outside 0 to 1", poo.Name, poo.LongShare))
	}
	if !(poo.ColdRate >= 0) || poo.ColdStart < 0 {
		faults = append(faults, fmt.Sprintf("pool %q: ColdRate and ColdStart must not be negative", poo.Name))
	}
	if poo.Batching != nil {
		for _, del := range poo.Batching.Delays {
			if !(del.Ms >= 0) {
				faults = append(faults, fmt.Sprintf("pool %q: the delay from %s to %s must not be negative", poo.Name, del.From, del.To))
			}
		}
	}
	return append(faults, poo.validateOverflow()...)
}

func (poo Pool) validateOverflow() []string {
	var faults []string
	if len(poo.Overflow) > 0 && poo.Kind != PoolEngine {
		faults = append(faults, fmt.Sprintf("pool %q: Overflow is for engine pools", poo.Name))
	}
	for i, reg := range poo.Overflow {
		switch {
		case reg == "" || strings.ContainsRune(reg, '/'):
			faults = append(faults, fmt.Sprintf("pool %q: Overflow names no region by %q", poo.Name, reg))
		case slices.Contains(poo.Overflow[:i], reg):
			faults = append(faults, fmt.Sprintf("pool %q: Overflow names %q twice", poo.Name, reg))
		case reg == AnyRegion && len(poo.Overflow) > 1:
			faults = append(faults, fmt.Sprintf("pool %q: Overflow names %q beside other regions", poo.Name, reg))
		}
	}
	return faults
}
