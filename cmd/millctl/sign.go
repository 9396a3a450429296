package main

import (
	"crypto/ed25519"
	"fmt"
	"os"

	"amaranthmill/administrator"
	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// signCommand signs off a proposed bundle.
type signCommand struct {
	app    *app
	Key    string `long:"key" env:"MILLCTL_KEY" required:"yes" value-name:"FILE" description:"your private key, made with \"millctl keys signer\""`
	Digest string `long:"digest" value-name:"HEX" description:"sign only the content with this digest, as you reviewed it"`
	Args   struct {
		Version uint64 `positional-arg-name:"VERSION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *signCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	version := identifier.BundleVersion(c.Args.Version)
	content, err := client.Bundle(c.app.ctx, fmt.Sprint(version))
	if err != nil {
		return err
	}
	b, err := c.checkContent(content)
	if err != nil {
		return err
	}
	if c.app.Output == "text" {
		c.printChanges(client, b)
	}
	signature := bundler.Sign(key, bundler.DigestOf(content.Bytes))
	accepted, err := client.Sign(c.app.ctx, version, signature)
	if err != nil {
		return err
	}
	return c.app.showResult(accepted, func() {
		c.app.printf("version %d is accepted, digest %s\n", accepted.Version, accepted.Digest)
	})
}

// checkContent parses the content that an instance sent, and checks that it is a valid bundle
// and has the version and digest that the operator means to sign.
func (c *signCommand) checkContent(content administrator.BundleContent) (*bundler.Bundle, error) {
	if c.Digest != "" && c.Digest != content.Digest {
		return nil, &usageError{message: fmt.Sprintf("version %d has digest %s, not %s; review it again", content.Version, content.Digest, c.Digest)}
	}
	b, err := parseContent(content)
	if err != nil {
		return nil, err
	}
	if uint64(b.Version) != c.Args.Version {
		return nil, &usageError{message: fmt.Sprintf("the instance sent version %d in place of %d", b.Version, c.Args.Version)}
	}
	if problems := bundler.Validate(b, nil); len(problems) > 0 {
		return nil, &bundler.InvalidError{Problems: problems}
	}
	return b, nil
}

// printChanges prints what the sign-off will change. It prints nothing if the current bundle
// cannot be read.
func (c *signCommand) printChanges(client *administrator.Client, b *bundler.Bundle) {
	current, err := client.Bundle(c.app.ctx, "current")
	if err != nil {
		return
	}
	if from, err := parseContent(current); err == nil {
		c.app.printDiff(from, b, bundler.Diff(from, b))
	}
}

func readKey(path string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return bundler.ParsePrivateKey(text)
}
