package main

import (
	"errors"
	"os"

	"amaranthmill/diagnoser"
)

// explainCommand explains the outcome of one request from log files, or where a request would go now.
type explainCommand struct {
	app        *app
	Request    explainOptions `group:"Request that is explained and not sent"`
	Positional struct {
		Request string   `positional-arg-name:"REQUEST" description:"what the caller sent as the identity of its request, or can read in the answer"`
		Logs    []string `positional-arg-name:"LOG" description:"log files of instances; - is standard input"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *explainCommand) Execute([]string) error {
	switch {
	case c.Positional.Request == "" && c.Request.isSet():
		return c.explainPlacement()
	case c.Request.isSet():
		return &usageError{message: "explain: give either REQUEST and LOG, or --host and --path, not both"}
	case len(c.Positional.Logs) == 0:
		return &usageError{message: "explain: give REQUEST and at least one LOG to explain what became of a request, or --host and --path to explain where one would go now"}
	}
	var all []diagnoser.Line
	unread := 0
	for _, path := range c.Positional.Logs {
		lines, n, err := readLog(path)
		if err != nil {
			return err
		}
		all = append(all, lines...)
		unread += n
	}
	diagnosis, err := diagnoser.Diagnose(c.Positional.Request, all)
	if err != nil {
		return err
	}
	return c.app.showResult(explanation{Verdict: diagnosis.Verdict, Unread: unread, Lines: lineTexts(diagnosis.Lines)}, func() { c.print(diagnosis, unread) })
}

func (c *explainCommand) print(diagnosis diagnoser.Diagnosis, unread int) {
	for _, l := range diagnosis.Lines {
		c.app.printf("%s %s\n", l.Time.Format("15:04:05.000"), l.Text)
	}
	c.app.printf("\n%s\n", diagnosis.Verdict)
	if unread > 0 {
		c.app.printf("%d lines could not be read\n", unread)
	}
}

// explanation is the JSON form of a diagnosis.
type explanation struct {
	Verdict string   `json:"verdict"`
	Unread  int      `json:"unread"`
	Lines   []string `json:"lines"`
}

func lineTexts(lines []diagnoser.Line) []string {
	var out []string
	for _, l := range lines {
		out = append(out, l.Text)
	}
	return out
}

func readLog(path string) (lines []diagnoser.Line, unread int, err error) {
	if path == "-" {
		return diagnoser.Read(os.Stdin)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return diagnoser.Read(f)
}
