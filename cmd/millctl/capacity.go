package main

import (
	"fmt"
	"time"

	"amaranthmill/messenger"
)

func capacityCommands(a *app) []command {
	return []command{{"capacity", "show learned limits of targets", "Shows up to which load, as a fraction of its slots, an instance expects each target to meet the strictest goals of its pool's requests, with what that follows from: the load as estimated, the speed relative to the mean of the pool, the part of the requests that failed lately, and the expected time to the first event. A target is listed once requests with a goal were answered in its pool." + instanceHelp, &capacityCommand{app: a}}}
}

// capacityCommand shows the learned limits of targets at an instance.
type capacityCommand struct{ app *app }

// Execute runs the command.
func (c *capacityCommand) Execute([]string) error {
	list, err := query(c.app, messenger.Operator.Capacities)
	if err != nil {
		return err
	}
	views := []capacityView{}
	for _, c := range list {
		views = append(views, capacityView{
			Endpoint: string(c.Target.ID), Pool: string(c.Target.Pool), Slots: c.Target.Slots, Limit: c.Limit, Load: c.Load, Speed: c.Speed, FailureRate: c.FailureRate,
			FirstEvent: c.FirstEvent.Round(time.Millisecond).String(), LatencyGoal: c.LatencyGoal.String(), GapGoal: c.GapGoal.String(), BacklogTokens: c.Backlog,
		})
	}
	return c.app.showResult(views, func() { c.app.printCapacities(views) })
}

// capacityView is the JSON form of a learned limit.
type capacityView struct {
	Endpoint      string  `json:"endpoint"`
	Pool          string  `json:"pool"`
	Slots         int     `json:"slots"`
	Limit         float64 `json:"limit"`
	Load          float64 `json:"load"`
	Speed         float64 `json:"speed"`
	FailureRate   float64 `json:"failureRate"`
	FirstEvent    string  `json:"firstEvent"`
	BacklogTokens int     `json:"backlogTokens"`
	LatencyGoal   string  `json:"latencyGoal"`
	GapGoal       string  `json:"gapGoal"`
}

func (a *app) printCapacities(views []capacityView) {
	var rows []string
	for _, v := range views {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%s", v.Endpoint, v.Pool, v.Slots, v.Limit, v.Load, v.Speed, v.FailureRate, v.FirstEvent, v.LatencyGoal))
	}
	a.table("ENDPOINT\tPOOL\tSLOTS\tLIMIT\tLOAD\tSPEED\tFAILURES\tFIRST EVENT\tGOAL", rows)
}
