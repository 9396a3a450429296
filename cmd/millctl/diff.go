package main

import (
	"os"
	"strconv"

	"amaranthmill/administrator"
	"amaranthmill/bundler"
)

// diffCommand describes the changes between two bundles.
type diffCommand struct {
	app  *app
	Args struct {
		From string `positional-arg-name:"FROM" description:"a file, a version or \"current\""`
		To   string `positional-arg-name:"TO" description:"a file, a version or \"current\""`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *diffCommand) Execute([]string) error {
	from, err := c.app.readBundle(c.Args.From)
	if err != nil {
		return err
	}
	to, err := c.app.readBundle(c.Args.To)
	if err != nil {
		return err
	}
	lines := bundler.Diff(from, to)
	return c.app.showResult(difference{From: from.Version, To: to.Version, Changes: lines}, func() {
		c.app.printDiff(from, to, lines)
	})
}

// readBundle reads a bundle from an instance if name is a version or "current", and otherwise
// from the file called name.
func (a *app) readBundle(name string) (*bundler.Bundle, error) {
	if _, err := strconv.ParseUint(name, 10, 64); err != nil && name != "current" {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		return bundler.Parse(content)
	}
	client, err := a.client()
	if err != nil {
		return nil, err
	}
	c, err := client.Bundle(a.ctx, name)
	if err != nil {
		return nil, err
	}
	return parseContent(c)
}

// parseContent checks the digest of a bundle that an instance sent, and parses the bundle.
func parseContent(c administrator.BundleContent) (*bundler.Bundle, error) {
	if digest := bundler.DigestOf(c.Bytes).String(); digest != c.Digest {
		return nil, &usageError{message: "the instance names digest " + c.Digest + " for content with digest " + digest}
	}
	return bundler.Parse(c.Bytes)
}
