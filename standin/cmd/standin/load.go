package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"amaranthmill/standin/load"
)

type loadCommand struct {
	To          []string      `long:"to" required:"true" description:"address of an entry instance, or of an engine; may be repeated"`
	Key         string        `long:"key" env:"MILL_KEY" description:"bearer key of the client account"`
	Model       string        `long:"model" required:"true" description:"model name"`
	Adapter     string        `long:"adapter" description:"adapter that the model's answers are made with"`
	Prompt      string        `long:"prompt" default:"load" description:"prefix of each prompt"`
	Concurrency int           `long:"concurrency" default:"8" description:"streams at once"`
	Requests    int           `long:"requests" description:"stop after so many requests"`
	Duration    time.Duration `long:"duration" description:"stop after this time"`
	Tokens      int           `long:"tokens" default:"20" description:"tokens of each answer"`
	Timeout     time.Duration `long:"timeout" description:"deadline of each request; 0 leaves it to the bundle"`
	Epoch       string        `long:"epoch" description:"epoch of the group, when the address is an engine"`
}

// Execute sends the load and prints the report as JSON.
func (c *loadCommand) Execute([]string) error {
	if c.Requests == 0 && c.Duration == 0 {
		return fmt.Errorf("load: --requests or --duration is required")
	}
	cfg := load.Config{
		Key: c.Key, Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt, Concurrency: c.Concurrency,
		Requests: c.Requests, Duration: c.Duration, AnswerTokens: c.Tokens, Timeout: c.Timeout, Epoch: c.Epoch, Progress: os.Stderr,
	}
	for _, a := range c.To {
		p, err := netip.ParseAddrPort(a)
		if err != nil {
			return fmt.Errorf("load: --to %q: %w", a, err)
		}
		cfg.Targets = append(cfg.Targets, p)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(load.Run(context.Background(), cfg))
}
