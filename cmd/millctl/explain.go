package main

import (
	"errors"
	"os"

	"amaranthmill/diagnoser"
)

// explainCommand explains the outcome of one request from log files.
type explainCommand struct {
	app        *app
	Positional struct {
		Request string   `positional-arg-name:"REQUEST" description:"what the caller sent as the identity of its request, or can read in the answer"`
		Logs    []string `positional-arg-name:"LOG" description:"log files of instances; - is standard input" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *explainCommand) Execute([]string) error {
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
