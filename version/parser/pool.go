package parser

import (
	"fmt"
	"slices"
	"strings"
)

// PoolKind is the kind of endpoint that a pool names.
type PoolKind string

// Kinds of pools.
const (
	PoolEngine  PoolKind = "Engine"
	PoolService PoolKind = "Service"
)

// Selector picks the endpoints of a pool from the platform's list.
type Selector struct {
	Service     string
	DataCenters []string `json:",omitempty"`
}

// Pool names a group of endpoints.
type Pool struct {
	Name     string
	Kind     PoolKind
	Selector Selector
	// MaxOutstanding bounds the requests on one endpoint; 0 stands for no bound.
	MaxOutstanding int `json:",omitempty"`
	// MaxWaiting bounds the requests that wait for the pool on one host.
	MaxWaiting int `json:",omitempty"`
	// ChecksFencing says that the endpoints refuse orders with an old fencing number.
	ChecksFencing bool `json:",omitempty"`
	// LongShare is the share of the engines, 0 to 1, that long prompts may
	// occupy at a time; 0 stands for the default.
	LongShare float64 `json:",omitempty"`
	// Overflow names the regions that take requests of the pool which the
	// caller's region can't serve in time; AnyRegion stands for all, and none
	// for no overflow.
	Overflow []string `json:",omitempty"`
	// HealthPath answers whether an endpoint is healthy.
	HealthPath string `json:",omitempty"`
	// MaxConnections bounds the connections of one endpoint from all callers;
	// 0 stands for no bound.
	MaxConnections int `json:",omitempty"`
	// Batching describes the engines of a pool whose prompts are forwarded; nil
	// for plain services.
	Batching *Batching `json:",omitempty"`
}

// Batching says how fast an engine works that reads prompts in pieces between
// the steps of the answers that it writes.
type Batching struct {
	// Slots is the number of requests that are read or written at once.
	Slots int
	// MemoryTokens is the memory of an engine for prompts and answers.
	MemoryTokens int64
	// StepMs is the time of a step that writes a token of every answer;
	// SequenceMs is added for each answer and ContextMs for each thousand
	// tokens of their contexts.
	StepMs     float64
	SequenceMs float64
	ContextMs  float64
	// Stride is the number of steps of a pass, after which an event is sent.
	Stride int
	// ReadRate is the number of prompt tokens read in a second, and PairsMs the
	// further time for a million pairs of a token and an earlier one.
	ReadRate float64
	PairsMs  float64
	// ChunkTokens is the most prompt tokens that one step reads.
	ChunkTokens int64
	// HopMs is added to each step of an answer whose prompt lies on several engines.
	HopMs float64
	// ReportLagMs is the age of what an engine reports of itself.
	ReportLagMs float64
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt int64
	UsualAnswer int64
}

// AnyRegion stands for all regions in Overflow.
const AnyRegion = "*"

// AcceptsOverflow reports whether a region accepts requests of the pool from other
// regions.
func (poo Pool) AcceptsOverflow(region string) bool {
	return slices.Contains(poo.Overflow, region) || slices.Contains(poo.Overflow, AnyRegion)
}

// Defaults fills in the fields left empty.
func (poo Pool) Defaults() Pool {
	if poo.MaxWaiting == 0 {
		poo.MaxWaiting = 1000
	}
	return poo
}

// Validate lists every fault of the pool by itself.
func (poo Pool) Validate() []string {
	var fas []string
	if !validName(poo.Name) {
		fas = append(fas, fmt.Sprintf("pool %q: Name must be 1 to 63 of a-z, 0-9 and -", poo.Name))
	}
	if poo.Kind != PoolEngine && poo.Kind != PoolService {
		fas = append(fas, fmt.Sprintf("pool %q: Kind %q must be Engine or Service", poo.Name, poo.Kind))
	}
	if poo.Selector.Service == "" {
		fas = append(fas, fmt.Sprintf("pool %q: Selector.Service is missing", poo.Name))
	}
	if poo.MaxOutstanding < 0 || poo.MaxWaiting < 0 {
		fas = append(fas, fmt.Sprintf("pool %q: limits must not be negative", poo.Name))
	}
	if poo.LongShare < 0 || poo.LongShare > 1 {
		fas = append(fas, fmt.Sprintf("pool %q: LongShare %g is outside 0 to 1", poo.Name, poo.LongShare))
	}
	return append(fas, poo.validateOverflow()...)
}

func (poo Pool) validateOverflow() []string {
	var fas []string
	if len(poo.Overflow) > 0 && poo.Kind != PoolEngine {
		fas = append(fas, fmt.Sprintf("pool %q: Overflow is for engine pools", poo.Name))
	}
	for ind, reg := range poo.Overflow {
		switch {
		case reg == "" || strings.ContainsRune(reg, '/'):
			fas = append(fas, fmt.Sprintf("pool %q: Overflow names no region by %q", poo.Name, reg))
		case slices.Contains(poo.Overflow[:ind], reg):
			fas = append(fas, fmt.Sprintf("pool %q: Overflow names %q twice", poo.Name, reg))
		case reg == AnyRegion && len(poo.Overflow) > 1:
			fas = append(fas, fmt.Sprintf("pool %q: Overflow names %q beside other regions", poo.Name, reg))
		}
	}
	return fas
}
