package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthmill/administrator"
	"amaranthmill/auditor"
)

// auditCommand reads and verifies the audit trail.
type auditCommand struct {
	app    *app
	Page   uint64   `long:"page" value-name:"N" description:"print this page; default: the last"`
	Verify bool     `long:"verify" description:"read and check the whole trail"`
	Anchor []string `long:"anchor" value-name:"SEQUENCE:HASH" description:"an anchor printed by an earlier --verify, which the trail has to contain; may be repeated"`
}

// Execute runs the command.
func (c *auditCommand) Execute([]string) error {
	if c.Verify || len(c.Anchor) > 0 {
		return c.verify()
	}
	call := func(client *administrator.Client) (auditor.Page, error) { return client.AuditPage(c.app.ctx, c.Page) }
	return callAndShow(c.app, call, c.app.printTrail)
}

// verification is the JSON form of the result of --verify.
type verification struct {
	Entries uint64          `json:"entries"`
	Anchor  auditor.Anchor  `json:"anchor"`
	Faults  []auditor.Fault `json:"faults"`
}

func (c *auditCommand) verify() error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	v := &auditor.Verifier{Faults: []auditor.Fault{}}
	for _, text := range c.Anchor {
		anchor, err := parseAnchor(text)
		if err != nil {
			return err
		}
		v.Anchors = append(v.Anchors, anchor)
	}
	for number := uint64(1); ; number++ {
		p, err := client.AuditPage(c.app.ctx, number)
		if problem := findProblem(err); problem != nil && problem.Status == http.StatusNotFound {
			break
		}
		if err != nil {
			return err
		}
		v.Add(p)
	}
	return c.showVerification(v)
}

// showVerification prints the result of v. If v found faults, it returns a *tamperedError.
func (c *auditCommand) showVerification(v *auditor.Verifier) error {
	end := v.Finish()
	err := c.app.showResult(verification{Entries: end.Sequence, Anchor: end, Faults: v.Faults}, func() {
		c.app.printf("%d entries, %d faults; anchor %d:%s\n", end.Sequence, len(v.Faults), end.Sequence, end.Hash)
	})
	if err != nil || len(v.Faults) == 0 {
		return err
	}
	trailErr := &tamperedError{}
	for _, f := range v.Faults {
		trailErr.faults = append(trailErr.faults, fmt.Sprintf("entry %d: %s", f.Sequence, f.Message))
	}
	return trailErr
}

func parseAnchor(text string) (auditor.Anchor, error) {
	number, hash, found := strings.Cut(text, ":")
	sequence, err := strconv.ParseUint(number, 10, 64)
	if err != nil || !found || sequence == 0 {
		return auditor.Anchor{}, &usageError{message: fmt.Sprintf("--anchor: %q is not SEQUENCE:HASH", text)}
	}
	return auditor.Anchor{Sequence: sequence, Hash: hash}, nil
}

func (a *app) printTrail(p auditor.Page) {
	var rows []string
	for _, e := range p.Entries {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s\t%d\t%d\t%s\t%s", e.Sequence, e.At.Format(time.RFC3339), e.Actor, e.Action, e.From, e.To, e.Instance, e.Detail))
	}
	a.table("ENTRY\tAT\tWHO\tWHAT\tFROM\tTO\tINSTANCE\tDETAIL", rows)
}
