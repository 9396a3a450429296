package main

import (
	"fmt"
	"time"

	"amaranthmill/messenger"
	"amaranthmill/scheduler"
)

func reachCommands(a *app) []command {
	return []command{{"reach", "show which endpoints and peers an instance reaches", "Shows since when an instance is cut off from most endpoints, which of them answered it nothing last, and the peers that send its requests to endpoints meanwhile: how many requests run through each, and until when a peer gets none because it could not serve one." + instanceHelp, &reachCommand{app: a}}}
}

// reachCommand shows which endpoints and peers an instance reaches.
type reachCommand struct{ app *app }

// Execute runs the command.
func (c *reachCommand) Execute([]string) error {
	status, err := query(c.app, messenger.Operator.Reach)
	if err != nil {
		return err
	}
	view := newReachView(time.Now(), status)
	return c.app.showResult(view, func() { c.app.printReach(view) })
}

// reachView is the JSON form of what an instance reaches.
type reachView struct {
	CutOff      bool       `json:"cutOff"`
	CutSince    *time.Time `json:"cutSince,omitempty"`
	Targets     int        `json:"targets"`
	Unreachable []string   `json:"unreachable"`
	Peers       []peerView `json:"peers"`
}

// peerView is the JSON form of a peer.
type peerView struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	Running       int    `json:"running"`
	Paused        bool   `json:"paused"`
}

func newReachView(now time.Time, s scheduler.ReachStatus) reachView {
	v := reachView{CutOff: !s.CutSince.IsZero(), Targets: s.Targets, Unreachable: []string{}, Peers: []peerView{}}
	if v.CutOff {
		v.CutSince = &s.CutSince
	}
	for _, id := range s.Unreachable {
		v.Unreachable = append(v.Unreachable, string(id))
	}
	for _, p := range s.Peers {
		v.Peers = append(v.Peers, peerView{Instance: string(p.Name), FailureDomain: string(p.FailureDomain), Running: p.Running, Paused: p.PausedUntil.After(now)})
	}
	return v
}

func (a *app) printReach(v reachView) {
	if v.CutOff {
		fmt.Fprintf(a.stdout, "cut off from endpoints since %s\n", v.CutSince.Format(time.RFC3339))
	} else {
		fmt.Fprintln(a.stdout, "reaches its endpoints")
	}
	fmt.Fprintf(a.stdout, "%d of %d targets answered nothing last\n", len(v.Unreachable), v.Targets)
	for _, id := range v.Unreachable {
		fmt.Fprintf(a.stdout, "  %s\n", id)
	}
	var rows []string
	for _, p := range v.Peers {
		state := "open"
		if p.Paused {
			state = "paused"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%s", p.Instance, p.FailureDomain, p.Running, state))
	}
	a.table("PEER\tFAILURE DOMAIN\tREQUESTS\tSTATE", rows)
}
