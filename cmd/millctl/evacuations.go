package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"amaranthmill/administrator"
	"amaranthmill/messenger"
)

func evacuationCommands(a *app) []command {
	return []command{{"evacuations", "show failure domains that are evacuated", "Shows for each instance the failure domains to whose endpoints it sends no requests because the operator evacuates them, since when it knows that, and how many endpoints are listed there. It asks every instance that --address names, at the address at which the instance answers its peers (listen.peers in its settings). No token is needed.", &evacuationsCommand{app: a}}}
}

// evacuationsCommand shows the evacuated failure domains, as each instance knows them.
type evacuationsCommand struct{ app *app }

// Execute runs the command. It fails if no instance answers.
func (c *evacuationsCommand) Execute([]string) error {
	addresses, err := c.app.addresses()
	if err != nil {
		return err
	}
	operator := messenger.Operator{HTTP: &http.Client{Timeout: instanceTimeout}}
	views := []evacuationsView{}
	answered := false
	for _, address := range addresses {
		var list []messenger.Evacuation
		list, err = operator.Evacuations(c.app.ctx, address)
		answered = answered || err == nil || errors.As(err, new(*messenger.StatusError))
		views = append(views, newEvacuationsView(address, list, err))
	}
	if !answered {
		return &administrator.UnreachableError{Cause: err}
	}
	return c.app.showResult(views, func() { c.app.printEvacuations(views) })
}

// evacuationsView is the JSON form of the evacuations at one instance.
type evacuationsView struct {
	Address     string           `json:"address"`
	Problem     string           `json:"problem,omitempty"` // why the instance has not answered
	Evacuations []evacuationView `json:"evacuations"`
}

// evacuationView is the JSON form of an evacuation.
type evacuationView struct {
	FailureDomain string    `json:"failureDomain"`
	Since         time.Time `json:"since"`
	Endpoints     int       `json:"endpoints"`
}

func newEvacuationsView(address netip.AddrPort, list []messenger.Evacuation, err error) evacuationsView {
	v := evacuationsView{Address: address.String(), Evacuations: []evacuationView{}}
	if err != nil {
		v.Problem = err.Error()
	}
	for _, e := range list {
		v.Evacuations = append(v.Evacuations, evacuationView{FailureDomain: string(e.FailureDomain), Since: e.Since, Endpoints: e.Endpoints})
	}
	return v
}

func (a *app) printEvacuations(views []evacuationsView) {
	var rows []string
	for _, v := range views {
		switch {
		case v.Problem != "":
			rows = append(rows, fmt.Sprintf("%s\t%s\t\t", v.Address, v.Problem))
		case len(v.Evacuations) == 0:
			rows = append(rows, fmt.Sprintf("%s\t(none)\t\t", v.Address))
		}
		for _, e := range v.Evacuations {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d", v.Address, e.FailureDomain, e.Since.Format(time.RFC3339), e.Endpoints))
		}
	}
	a.table("INSTANCE\tFAILURE DOMAIN\tSINCE\tENDPOINTS", rows)
}
