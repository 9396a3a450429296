package main

import (
	"os"

	"amaranthmill/administrator"
	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

func bundleCommands(a *app) []command {
	return []command{
		{"check", "check a bundle file", "Checks a bundle file and prints every fault with its place. It works without an instance; --fleet also asks one whether the fleet can run the bundle.", &checkCommand{app: a}},
		{"propose", "store a bundle for sign-off", "Stores a bundle file for sign-off by another person. Proposing the same file again is safe.", &proposeCommand{app: a}},
		{"diff", "say what changes between two bundles", "Says in words what changes between two bundles. Each is a file, a version or \"current\".", &diffCommand{app: a}},
		{"sign", "sign off a proposed bundle", "Signs a proposed bundle with your private key and has it accepted, if you are not its author and it was made from the version in force. Signing again is safe.", &signCommand{app: a}},
		{"list", "list proposals and accepted versions", "Lists the proposals and the latest accepted versions.", &listCommand{app: a}},
		{"show", "print a bundle", "Prints the exact text of a bundle: a version or \"current\".", &showCommand{app: a}},
		{"status", "show which version is in force where", "Shows which version each entry instance has in force. With --wait it waits until the version is in force on all.", &statusCommand{app: a}},
	}
}

// fileArgument holds the positional argument of commands that read a bundle file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"bundle in JSON"`
}

// checkCommand checks a bundle file.
type checkCommand struct {
	app   *app
	Fleet bool         `long:"fleet" description:"also ask an instance whether the fleet can run it"`
	Args  fileArgument `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	content, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	b, err := bundler.Check(content, nil)
	if err != nil {
		return err
	}
	if c.Fleet {
		client, err := c.app.client()
		if err != nil {
			return err
		}
		if _, err := client.Check(c.app.ctx, content); err != nil {
			return err
		}
	}
	digest := bundler.DigestOf(content).String()
	return c.app.showResult(checkResult{Version: b.Version, Digest: digest}, func() {
		c.app.printf("version %d is valid, digest %s\n", b.Version, digest)
	})
}

// checkResult is the JSON form of the result of a check.
type checkResult struct {
	Version identifier.BundleVersion `json:"version"`
	Digest  string                   `json:"digest"`
}

// proposeCommand stores a bundle file for sign-off.
type proposeCommand struct {
	app  *app
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *proposeCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	content, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	if _, err := bundler.Check(content, nil); err != nil {
		return err
	}
	stored, err := client.Propose(c.app.ctx, content)
	if err != nil {
		return err
	}
	return c.app.showResult(stored, func() {
		c.app.printf("version %d is proposed, digest %s\nanother person signs it off with: millctl bundle sign %d --key FILE\n", stored.Version, stored.Digest, stored.Version)
	})
}

// showCommand prints a bundle.
type showCommand struct {
	app  *app
	Args struct {
		Version string `positional-arg-name:"VERSION" description:"a number or \"current\""`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *showCommand) Execute([]string) error {
	call := func(client *administrator.Client) (administrator.BundleContent, error) {
		return client.Bundle(c.app.ctx, c.Args.Version)
	}
	return callAndShow(c.app, call, func(b administrator.BundleContent) { c.app.printf("%s", b.Bytes) })
}

// listCommand lists proposed and accepted bundles.
type listCommand struct{ app *app }

// Execute runs the command.
func (c *listCommand) Execute([]string) error {
	call := func(client *administrator.Client) (administrator.BundleList, error) { return client.Bundles(c.app.ctx) }
	return callAndShow(c.app, call, c.app.printBundles)
}
