package main

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"os"

	"amaranthmill/bundler"
)

// tokenSize is the number of random bytes in a bearer key.
const tokenSize = 32

func keyCommands(a *app) []command {
	return []command{
		{"signer", "make a signer's key pair", "Writes a new private key to a file that only you may read, and prints the public key for the settings of the instances.", &signerCommand{app: a}},
		{"token", "make a bearer key or token", "Prints a new bearer key, for a client account or an operator, and its digest for the bundle or the settings. The key itself is kept nowhere.", &tokenCommand{app: a}},
		{"digest", "print the digest of a bearer key", "Prints the digest of a bearer key that is read from a file.", &digestCommand{app: a}},
	}
}

// signerKey is a signer's public key in JSON.
type signerKey struct {
	PublicKey string `json:"publicKey"`
	File      string `json:"file"`
}

// signerCommand makes a signer's key pair.
type signerCommand struct {
	app *app
	Out string `long:"out" required:"yes" value-name:"FILE" description:"where to write the private key; the file must not exist"`
}

// Execute carries the command out.
func (c *signerCommand) Execute([]string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	text, err := bundler.EncodePrivateKey(private)
	if err != nil {
		return err
	}
	if err := writeNew(c.Out, text); err != nil {
		return err
	}
	key := signerKey{PublicKey: bundler.EncodePublicKey(public), File: c.Out}
	return c.app.show(key, func() {
		c.app.printf("private key written to %s\npublic key for the settings: %s\n", key.File, key.PublicKey)
	})
}

// writeNew writes a file that only its owner may read and that did not exist.
func writeNew(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(text); err != nil {
		_ = f.Close() // the first error counts
		return err
	}
	return f.Close()
}

// token is a bearer key with its digest in JSON.
type token struct {
	Key    string `json:"key,omitempty"`
	Digest string `json:"digest"`
}

// tokenCommand makes a bearer key.
type tokenCommand struct{ app *app }

// Execute carries the command out.
func (c *tokenCommand) Execute([]string) error {
	random := make([]byte, tokenSize)
	if _, err := rand.Read(random); err != nil {
		return err
	}
	text := base64.RawURLEncoding.EncodeToString(random)
	made := token{Key: text, Digest: bundler.DigestOf([]byte(text)).String()}
	return c.app.show(made, func() { c.app.printf("key:    %s\ndigest: %s\n", made.Key, made.Digest) })
}

// digestCommand prints the digest of a bearer key.
type digestCommand struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE" description:"the key; white space around it does not count"`
	} `positional-args:"yes" required:"yes"`
}

// Execute carries the command out.
func (c *digestCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	key := token{Digest: bundler.DigestOf(bytes.TrimSpace(text)).String()}
	return c.app.show(key, func() { c.app.printf("digest: %s\n", key.Digest) })
}
