package server

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/request/responder"
)

// TeamStatus counts the requests of one team by outcome, summed over hosts since the start
// of each. Whole counts complete answers, and Cut aborted ones.
type TeamStatus struct {
	Team    string
	Whole   int64
	Refused int64
	Failed  int64
	Cut     int64
}

// TeamsStatus holds the counts of all teams, summed over the hosts that answered.
type TeamsStatus struct {
	Teams []TeamStatus
	// Hosts is the number of hosts in the sum, Silent the names of the hosts that did
	// not answer.
	Hosts  int
	Silent []string
}

func (ser *Server) teamsReport() *messenger.TeamsReport {
	rep := &messenger.TeamsReport{Host: ser.Settings.HostID}
	for key, n := range ser.meter.teams.totals() {
		rep.Counts = append(rep.Counts, &messenger.TeamCount{Team: key.team, Outcome: key.outcome, Requests: n})
	}
	return rep
}

// getTeamStatuses sums the counts of all hosts. It is meant for operators, not for polling.
func (ser *Server) getTeamStatuses(wri http.ResponseWriter, req *http.Request) {
	ents := ser.otherHosts()
	reps := make([]*messenger.TeamsReport, len(ents), len(ents)+1)
	ser.callHosts(req.Context(), ents, func(ctx context.Context, i int, ent persister.Entry) {
		rep, err := ser.callHost(ctx, ent, &messenger.Envelope{Body: &messenger.Envelope_TeamsQuery{TeamsQuery: &messenger.TeamsQuery{}}})
		if err == nil {
			reps[i] = rep.GetTeamsReport()
		}
	})
	out := TeamsStatus{Silent: []string{}}
	for i, rep := range reps {
		if rep == nil {
			out.Silent = append(out.Silent, ents[i].ID)
		}
	}
	reps = append(reps, ser.teamsReport())
	out.Hosts = len(reps) - len(out.Silent)
	out.Teams = sumTeams(reps)
	responder.WriteJSON(wri, http.StatusOK, out)
}

func sumTeams(reps []*messenger.TeamsReport) []TeamStatus {
	sums := map[string]TeamStatus{}
	for _, rep := range reps {
		for _, cou := range rep.GetCounts() {
			sums[cou.GetTeam()] = sums[cou.GetTeam()].add(cou)
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b TeamStatus) int { return cmp.Compare(a.Team, b.Team) })
}

func (sta TeamStatus) add(cou *messenger.TeamCount) TeamStatus {
	sta.Team = cou.GetTeam()
	switch cou.GetOutcome() {
	case outcomeWhole:
		sta.Whole += cou.GetRequests()
	case outcomeRefused:
		sta.Refused += cou.GetRequests()
	case outcomeFailed:
		sta.Failed += cou.GetRequests()
	case outcomeCut:
		sta.Cut += cou.GetRequests()
	}
	return sta
}
