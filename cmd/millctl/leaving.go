package main

import (
	"fmt"
	"time"

	"amaranthmill/messenger"
)

func leavingCommands(a *app) []command {
	return []command{{"leaving", "show endpoints that leave", "Shows the processes of endpoints that get no more requests because they leave, with the time and the way in which an instance learned it first: from the list (their entries in the store), from an answer to it, or from a peer." + instanceHelp, &leavingCommand{app: a}}}
}

// leavingCommand shows the processes of endpoints that leave, as an instance knows them.
type leavingCommand struct{ app *app }

// Execute runs the command.
func (c *leavingCommand) Execute([]string) error {
	list, err := query(c.app, messenger.Operator.Leaving)
	if err != nil {
		return err
	}
	views := []leavingView{}
	for _, p := range list {
		views = append(views, leavingView{Endpoint: string(p.Process.Endpoint), ProcessStart: int64(p.Process.Start), Since: p.Since, Source: string(p.Source)})
	}
	return c.app.showResult(views, func() { c.app.printLeaving(views) })
}

// leavingView is the JSON form of a process that leaves.
type leavingView struct {
	Endpoint     string    `json:"endpoint"`
	ProcessStart int64     `json:"processStart"`
	Since        time.Time `json:"since"`
	Source       string    `json:"source"`
}

func (a *app) printLeaving(views []leavingView) {
	var rows []string
	for _, v := range views {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s", v.Endpoint, v.ProcessStart, v.Since.Format(time.RFC3339), v.Source))
	}
	a.table("ENDPOINT\tPROCESS START\tSINCE\tLEARNED FROM", rows)
}
