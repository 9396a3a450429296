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

// signerKey is the JSON form of a new key pair: the public key and the file of the private key.
type signerKey struct {
	PublicKey string `json:"publicKey"`
	File      string `json:"file"`
}

// signerCommand generates a signer's key pair.
type signerCommand struct {
	app *app
	Out string `long:"out" required:"yes" value-name:"FILE" description:"where to write the private key; the file must not exist"`
}

// Execute runs the command.
func (c *signerCommand) Execute([]string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	text, err := bundler.EncodePrivateKey(private)
	if err != nil {
		return err
	}
	if err := writeNewFile(c.Out, text); err != nil {
		return err
	}
	key := signerKey{PublicKey: bundler.EncodePublicKey(public), File: c.Out}
	return c.app.showResult(key, func() {
		c.app.printf("private key written to %s\npublic key for the settings: %s\n", key.File, key.PublicKey)
	})
}

// writeNewFile creates a file that only its owner may read. It fails if the file exists.
func writeNewFile(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(text); err != nil {
		_ = f.Close() // the write error is reported instead
		return err
	}
	return f.Close()
}

// token is the JSON form of a bearer key and its digest.
type token struct {
	Key    string `json:"key,omitempty"`
	Digest string `json:"digest"`
}

// tokenCommand generates a bearer key.
type tokenCommand struct{ app *app }

// Execute runs the command.
func (c *tokenCommand) Execute([]string) error {
	random := make([]byte, tokenSize)
	if _, err := rand.Read(random); err != nil {
		return err
	}
	text := base64.RawURLEncoding.EncodeToString(random)
	created := token{Key: text, Digest: bundler.DigestOf([]byte(text)).String()}
	return c.app.showResult(created, func() { c.app.printf("key:    %s\ndigest: %s\n", created.Key, created.Digest) })
}

// digestCommand prints the digest of a bearer key.
type digestCommand struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE" description:"the key; white space around it does not count"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *digestCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	key := token{Digest: bundler.DigestOf(bytes.TrimSpace(text)).String()}
	return c.app.showResult(key, func() { c.app.printf("digest: %s\n", key.Digest) })
}
