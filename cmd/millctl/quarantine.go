package main

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/quarantiner"
)

func quarantineCommands(a *app) []command {
	return []command{
		{"list", "show what is quarantined", "Shows the requests and the parts of prompts that an instance refuses because endpoints ended under them, with the endpoints and the end of the quarantine." + instanceHelp, &quarantineListCommand{app: a}},
		{"lift", "end a quarantine", "Ends a quarantine at all instances. For a minute a request, and for 15 seconds a part, is then not suspected, so that it crashes endpoints freely if it is the cause." + instanceHelp, &quarantineLiftCommand{app: a}},
	}
}

// quarantineListCommand shows the quarantines at an instance.
type quarantineListCommand struct{ app *app }

// Execute runs the command.
func (c *quarantineListCommand) Execute([]string) error {
	list, err := query(c.app, messenger.Operator.Quarantines)
	if err != nil {
		return err
	}
	views := []quarantineView{}
	for _, q := range list {
		views = append(views, newQuarantineView(q))
	}
	return c.app.showResult(views, func() { c.app.printQuarantines(views) })
}

// quarantineView is the JSON form of a quarantine.
type quarantineView struct {
	Fingerprint string    `json:"fingerprint"`
	Kind        string    `json:"kind"`
	Part        string    `json:"part,omitempty"`
	Endpoints   []string  `json:"endpoints"`
	Until       time.Time `json:"until"`
}

func newQuarantineView(q quarantiner.Quarantine) quarantineView {
	v := quarantineView{Fingerprint: q.Fingerprint.String(), Kind: q.Kind.String(), Part: string(q.Part), Endpoints: []string{}, Until: q.Until}
	for _, p := range q.Losses {
		v.Endpoints = append(v.Endpoints, string(p.Endpoint))
	}
	return v
}

func (a *app) printQuarantines(views []quarantineView) {
	var rows []string
	for _, v := range views {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s", v.Fingerprint, v.Kind, v.Part, v.Until.Format(time.RFC3339), strings.Join(v.Endpoints, ",")))
	}
	a.table("FINGERPRINT\tKIND\tPART\tUNTIL\tENDPOINTS THAT ENDED", rows)
}

// quarantineLiftCommand ends a quarantine.
type quarantineLiftCommand struct {
	app        *app
	Positional struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" description:"as in the list and in the logs, 16 hexadecimal digits"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *quarantineLiftCommand) Execute([]string) error {
	fp, err := identifier.ParseFingerprint(c.Positional.Fingerprint)
	if err != nil {
		return &usageError{message: err.Error()}
	}
	err = c.app.callInstance(func(o messenger.Operator, address netip.AddrPort) error { return o.Lift(c.app.ctx, address, fp) })
	if err != nil {
		return err
	}
	return c.app.showResult(map[string]string{"lifted": fp.String()}, func() { c.app.printf("quarantine of %s lifted; the other instances are told at once\n", fp) })
}
