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
	// MaxCellEngines is the maximum number of engines of a cell.
	MaxCellEngines = maxSlots
)

// CellMembers is the name of a cell and its engines.
type CellMembers struct {
	// Name is the scope and the number of the cell: region/pool/number. The scope
	// is region/pool.
	Name    string
	Engines []placer.Endpoint
}

// CellCount returns the number of cells of a pool with the given number of engines.
func CellCount(engines int) int {
	if engines <= MaxCellEngines {
		return 1
	}
	return (engines + meanCellEngines - 1) / meanCellEngines
}

// CellName returns the name of a cell from its pool's scope and its number.
func CellName(scope string, number int) string { return scope + "/" + strconv.Itoa(number) }

// Partition divides the engines of a pool into cells. All hosts compute the same
// cells from the same list. It uses rendezvous hashing: an engine goes to the cell
// with the highest hash that has room, so that few engines change cells when the
// number of engines changes.
func Partition(scope string, engines []placer.Endpoint) []CellMembers {
	cells := make([]CellMembers, CellCount(len(engines)))
	for i := range cells {
		cells[i].Name = CellName(scope, i)
	}
	for _, end := range sortedByID(engines) {
		best := -1
		var highest uint64
		for i := range cells {
			weight := rendezvousWeight(cells[i].Name, end.ID)
			if len(cells[i].Engines) < MaxCellEngines && (best < 0 || weight > highest) {
				best, highest = i, weight
			}
		}
		cells[best].Engines = append(cells[best].Engines, end)
	}
	return cells
}

func sortedByID(engines []placer.Endpoint) []placer.Endpoint {
	out := slices.Clone(engines)
	slices.SortFunc(out, func(a, b placer.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// RankHosts sorts hosts by their rendezvous hash for a cell, the highest first. The
// first host schedules the cell.
func RankHosts(cell string, hosts []string) []string {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(cell, b), rendezvousWeight(cell, a)), cmp.Compare(a, b))
	})
	return out
}

func rendezvousWeight(cell, id string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(cell)
	_, _ = dig.WriteString("\x00")
	_, _ = dig.WriteString(id)
	return dig.Sum64()
}

// CellScope returns the scope (region/pool) of a cell from its name.
func CellScope(cell string) string {
	return cell[:max(0, strings.LastIndexByte(cell, '/'))]
}
