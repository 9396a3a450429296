package main

import (
	"fmt"
	"time"

	"amaranthmill/messenger"
)

func limitCommands(a *app) []command {
	return []command{{"limits", "show limits that endpoints name", "Shows the requests per second that processes of endpoints take from all instances together, as they say in their answers, with the age of the answer from which the instance knows it; 0 if a limit has ended within the last half minute." + instanceHelp, &limitsCommand{app: a}}}
}

// limitsCommand shows the limits that endpoints name, as an instance knows them.
type limitsCommand struct{ app *app }

// Execute runs the command.
func (c *limitsCommand) Execute([]string) error {
	list, err := query(c.app, messenger.Operator.Limits)
	if err != nil {
		return err
	}
	views := []limitView{}
	for _, n := range list {
		views = append(views, limitView{Endpoint: string(n.Process.Endpoint), ProcessStart: int64(n.Process.Start), PerSecond: n.PerSecond, Age: n.Age.Round(100 * time.Millisecond).String()})
	}
	return c.app.showResult(views, func() { c.app.printLimits(views) })
}

// limitView is the JSON form of a limit.
type limitView struct {
	Endpoint     string  `json:"endpoint"`
	ProcessStart int64   `json:"processStart"`
	PerSecond    float64 `json:"perSecond"`
	Age          string  `json:"age"`
}

func (a *app) printLimits(views []limitView) {
	var rows []string
	for _, v := range views {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%g\t%s", v.Endpoint, v.ProcessStart, v.PerSecond, v.Age))
	}
	a.table("ENDPOINT\tPROCESS START\tPER SECOND\tAGE", rows)
}
