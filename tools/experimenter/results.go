package main

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"hemlockpin/load/reporter"
	"hemlockpin/load/summarizer"

	"github.com/rotisserie/eris"
)

// results are the reports of the finished runs, kept in a file.
type results struct {
	name  string
	title string
	reps  []summarizer.Report
}

func newResults(set settings) *results {
	return &results{
		name:  filepath.Join(set.Out, fmt.Sprintf("%s-%d", set.Mix, set.Seed)),
		title: fmt.Sprintf("Placement, mix %s, seed %d, %s", set.Mix, set.Seed, set.setup()),
	}
}

// load reads the results of earlier runs, if there is a file.
func (res *results) load() error {
	reps, err := reporter.ReadJSON(res.name + ".json")
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	res.reps = reps
	return err
}

func (res *results) find(cel summarizer.Cell) (summarizer.Report, bool) {
	for _, rep := range res.reps {
		if rep.Cell == cel {
			return rep, true
		}
	}
	return summarizer.Report{}, false
}

// add adds a report and writes all reports as JSON and HTML.
func (res *results) add(rep summarizer.Report) error {
	res.reps = append(res.reps, rep)
	if err := reporter.WriteJSON(res.name+".json", res.reps); err != nil {
		return err
	}
	return reporter.WriteHTML(res.name+".html", res.title, res.reps)
}

// check returns an error if the loaded runs have other settings.
func (res *results) check(set settings) error {
	for _, rep := range res.reps {
		if rep.Setup != set.setup() {
			return eris.Errorf("%s.json holds runs of other settings: %s", res.name, rep.Setup)
		}
	}
	return nil
}

// setup describes the settings that all runs of a grid share, besides mix and seed.
func (set settings) setup() string {
	return fmt.Sprintf("scale %g, %d hosts, %d engines, %d services, long share %g, %s a run with %s to warm up, %s to fill queues",
		set.Scale, set.Hosts, set.Engines, set.Services, set.LongShare, set.Duration, set.WarmUp, set.Fill)
}

func cellName(cel summarizer.Cell) string {
	return fmt.Sprintf("%s %d%% %s", cel.Policy, cel.Load, cel.Variant)
}
