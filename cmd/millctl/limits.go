package main

import (
	"fmt"
	"time"

	"amaranthmill/messenger"
)

func limitCommands(a *app) []command {
	return []command{{"limits", "show limits of endpoints, with their sources", "Shows the requests per second that processes of endpoints take from all instances together, with the source of the limit: as they say in their answers (named), or because they are cold, as their entries (coldEntry) or answers (coldAnswer) say, or because the evacuation of their failure domain has ended (coldRestored). AGE is that of the answer from which the instance knows it; the rate is 0 if a named limit has ended within the last half minute. COLD LEFT is the remaining cold time." + instanceHelp, &limitsCommand{app: a}}}
}

// limitsCommand shows the limits of endpoints, as an instance knows them.
type limitsCommand struct{ app *app }

// Execute runs the command.
func (c *limitsCommand) Execute([]string) error {
	list, err := query(c.app, messenger.Operator.Limits)
	if err != nil {
		return err
	}
	views := []limitView{}
	for _, n := range list {
		v := limitView{Endpoint: string(n.Process.Endpoint), ProcessStart: int64(n.Process.Start), PerSecond: n.PerSecond, Age: n.Age.Round(100 * time.Millisecond).String(), Source: n.Source.String()}
		if n.ColdFor > 0 {
			v.ColdLeft = n.ColdFor.Round(100 * time.Millisecond).String()
		}
		views = append(views, v)
	}
	return c.app.showResult(views, func() { c.app.printLimits(views) })
}

// limitView is the JSON form of a limit.
type limitView struct {
	Endpoint     string  `json:"endpoint"`
	ProcessStart int64   `json:"processStart"`
	PerSecond    float64 `json:"perSecond"`
	Age          string  `json:"age"`
	Source       string  `json:"source"`
	ColdLeft     string  `json:"coldLeft,omitempty"`
}

func (a *app) printLimits(views []limitView) {
	var rows []string
	for _, v := range views {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%g\t%s\t%s\t%s", v.Endpoint, v.ProcessStart, v.PerSecond, v.Age, v.Source, v.ColdLeft))
	}
	a.table("ENDPOINT\tPROCESS START\tPER SECOND\tAGE\tSOURCE\tCOLD LEFT", rows)
}
