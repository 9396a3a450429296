package bundler

import (
	"bytes"
	"compress/gzip"
	"crypto/ed25519"
	"errors"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestCheck runs the files of testdata/check. The command "check" lists the faults of a
// bundle. "check fleet" also validates the bundle against an inventory with two fabric
// domains in alpine, of 4 and 8 engines. "diff" compares two bundles that are separated by
// a line "--".
func TestCheck(t *testing.T) {
	fleet := &Inventory{FabricDomains: []FabricDomain{
		{Name: "alpine-f1", FailureDomain: "alpine", Engines: 4},
		{Name: "alpine-f2", FailureDomain: "alpine", Engines: 8},
	}}
	datadriven.Walk(t, "testdata/check", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "diff" {
				return diffText(t, d.Input)
			}
			var inv *Inventory
			if d.HasArg("fleet") {
				inv = fleet
			}
			_, err := Check([]byte(d.Input), inv)
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				return "valid\n"
			}
			var out strings.Builder
			for _, p := range invalid.Problems {
				out.WriteString(p.String() + "\n")
			}
			return out.String()
		})
	})
}

func diffText(t *testing.T, input string) string {
	from, to, _ := strings.Cut(input, "\n--\n")
	before, err := Parse([]byte(from))
	if err != nil {
		t.Fatal(err)
	}
	after, err := Parse([]byte(to))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Join(Diff(before, after), "\n") + "\n"
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	private := signerKey("grace")
	text, err := EncodePrivateKey(private)
	is.NoErr(err)
	parsed, err := ParsePrivateKey(text)
	is.NoErr(err)
	is.True(parsed.Equal(private))
	public, err := ParsePublicKey(EncodePublicKey(private.Public().(ed25519.PublicKey)))
	is.NoErr(err)
	is.True(public.Equal(private.Public()))

	var keyErr *KeyError
	_, err = ParsePrivateKey(text[:len(text)/2])
	is.True(errors.As(err, &keyErr))
	_, err = ParsePublicKey("AAAA")
	is.True(errors.As(err, &keyErr))
}

// FuzzOpen checks that Open accepts only documents with a valid signature and a valid bundle
// whose author and signer differ.
func FuzzOpen(f *testing.F) {
	f.Add(signedBy(content(1, 0, "ada", "first"), "grace", "grace"))
	f.Add(signedBy(content(1, 0, "ada", "first"), "ada", "ada"))
	f.Add(signedBy([]byte(`{"version":1}{}`), "grace", "grace"))
	f.Add(signedBy([]byte(strings.Repeat("[", 20_000)), "grace", "grace"))
	f.Add([]byte(`{"bundle":"e30=","signer":"grace","signature":""}`))
	f.Add([]byte(`{"bundle":"e30=","bundle":"e30=","signer":"grace","signature":null}`))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		d, err := testSigners().Open(encoded)
		if err != nil {
			return
		}
		key, known := testSigners()[d.Signer]
		wire, err := decodeWire(encoded)
		if err != nil || !known || !ed25519.Verify(key, signedMessage(d.Digest), wire.Signature) {
			t.Fatalf("opened without a valid signature: %v", err)
		}
		if strings.EqualFold(d.Signer, d.Bundle.Author) || len(Validate(d.Bundle, nil)) > 0 {
			t.Fatalf("opened a bundle by %q signed by %q", d.Bundle.Author, d.Signer)
		}
	})
}

// FuzzParse checks that a parsed bundle survives a round trip: if it is encoded and parsed
// again, Diff reports no change. Parse also calls package json, so it accepts nothing that
// package json rejects.
func FuzzParse(f *testing.F) {
	f.Add(content(3, 2, "ada", "note"))
	f.Add([]byte(`{"version":1,"Version":2,"pools":{"a":[1,{"b":null}]},"models":[[]],"repair":7}`))
	f.Add([]byte(`{"version":-1,"pools":[{"groupSize":1.5,"adapters":["\ud800"]}],"accounts":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(encode(t, b))
		if err != nil || len(Diff(b, again)) > 0 {
			t.Fatalf("parsed again: %v, %v", err, Diff(b, again))
		}
	})
}

func TestContentSizeLimit(t *testing.T) {
	is := is.New(t)
	var tooLarge *DocumentError
	_, err := compress(make([]byte, MaxContentSize+1))
	is.True(errors.As(err, &tooLarge))

	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err = w.Write(make([]byte, MaxContentSize+1))
	is.NoErr(err)
	is.NoErr(w.Close())
	_, err = decompress(compressed.Bytes())
	is.True(errors.As(err, &tooLarge))
	_, err = decompress([]byte(`{"version":1}`))
	is.True(errors.As(err, &tooLarge))
}
