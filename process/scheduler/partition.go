package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"hemlockpin/request/placer"

	"github.com/cespare/xxhash/v2"
)

const (
	// meanCellEngines is the mean size of a cell of a large pool.
	meanCellEngines = 48
	// MaxCellEngines is the largest size of a cell.
	MaxCellEngines = maxSlots
)

// CellMembers is the part of a pool's engines that one host schedules.
type CellMembers struct {
	// Name is the pool's scope and the number of the cell.
	Name    string
	Engines []placer.Endpoint
}

// CellCount returns the number of cells of a pool with a number of engines.
func CellCount(engines int) int {
	if engines <= MaxCellEngines {
		return 1
	}
	return (engines + meanCellEngines - 1) / meanCellEngines
}

// CellName returns the name of a numbered cell.
func CellName(scope string, number int) string { return scope + "/" + strconv.Itoa(number) }

// Partition divides the engines of a pool into cells. Every host comes to the
// same cells from the same list. An engine goes to the cell with the highest
// hash that has room, so that few engines move when their number changes.
func Partition(scope string, engines []placer.Endpoint) []CellMembers {
	gros := make([]CellMembers, CellCount(len(engines)))
	for ind := range gros {
		gros[ind].Name = CellName(scope, ind)
	}
	for _, end := range sortedByID(engines) {
		bes := -1
		var hig uint64
		for ind := range gros {
			wei := weigh(gros[ind].Name, end.ID)
			if len(gros[ind].Engines) < MaxCellEngines && (bes < 0 || wei > hig) {
				bes, hig = ind, wei
			}
		}
		gros[bes].Engines = append(gros[bes].Engines, end)
	}
	return gros
}

func sortedByID(engines []placer.Endpoint) []placer.Endpoint {
	out := slices.Clone(engines)
	slices.SortFunc(out, func(one, two placer.Endpoint) int { return cmp.Compare(one.ID, two.ID) })
	return out
}

// Candidates returns the hosts in the order in which they are to schedule a
// cell.
func Candidates(cell string, hosts []string) []string {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(one, two string) int {
		return cmp.Or(cmp.Compare(weigh(cell, two), weigh(cell, one)), cmp.Compare(one, two))
	})
	return out
}

func weigh(cell, id string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(cell)
	_, _ = dig.WriteString("\x00")
	_, _ = dig.WriteString(id)
	return dig.Sum64()
}

// CellScope returns the scope that a cell's name was made from.
func CellScope(cell string) string {
	return cell[:max(0, strings.LastIndexByte(cell, '/'))]
}
