package bundler

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
)

// coreSession runs the core of one instance from a script.
type coreSession struct{ core *Core }

func newCoreSession() *coreSession {
	return &coreSession{core: NewCore(testSigners(), time.Second, rand.NewPCG(1, 2))}
}

// Handle applies one event of a script.
func (s *coreSession) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	switch ev.Name {
	case "restart":
		s.core = newCoreSession().core
		return nil, nil
	case "peer":
		return s.step(now, Offered{From: identifier.Instance(ev.Str("from")), Document: scriptDocument(ev)}), nil
	case "platform":
		return s.step(now, PlatformRead{Revision: uint64(ev.Int("revision")), Document: scriptDocument(ev)}), nil
	case "accepted":
		d, err := testSigners().Open(scriptDocument(ev))
		if err != nil {
			return nil, err
		}
		return s.step(now, Accepted{Document: d}), nil
	case "absent":
		return s.step(now, PlatformRead{}), nil
	case "tick":
		return s.step(now, Ticked{}), nil
	}
	return nil, fmt.Errorf("unknown event %q", ev.Name)
}

func (s *coreSession) step(now time.Time, e Event) []string {
	var lines []string
	for _, a := range s.core.Step(now, e) {
		lines = append(lines, formatAction(a))
	}
	return lines
}

func formatAction(a Action) string {
	switch a := a.(type) {
	case Apply:
		return fmt.Sprintf("apply version=%d signer=%s", a.Document.Bundle.Version, a.Document.Signer)
	case Refuse:
		return fmt.Sprintf("refuse from=%s alarm=%t %v", a.From, a.Alarm, a.Err)
	case Restore:
		return fmt.Sprintf("restore version=%d over=%d revision=%d", a.Document.Bundle.Version, a.ReplacedVersion, a.Revision)
	}
	return "?"
}

// scriptDocument builds the document that an event describes. The arguments are version,
// author (default ada), signer (default grace), key (default the signer's), note and defect.
func scriptDocument(ev scripter.Event) []byte {
	or := func(key, value string) string {
		if ev.Has(key) {
			return ev.Str(key)
		}
		return value
	}
	signer := or("signer", "grace")
	bundle := content(identifier.BundleVersion(ev.Int("version")), 0, or("author", "ada"), ev.Str("note"))
	document := signedBy(bundle, signer, or("key", signer))
	switch ev.Str("defect") {
	case "altered":
		changed := bytes.Replace(bundle, []byte(`"pools":[]`), []byte(`"pools":[ ]`), 1)
		document, _ = EncodeDocument(changed, signer, Sign(signerKey(signer), DigestOf(bundle)))
	case "invalid":
		document = signedBy(bytes.Replace(bundle, []byte(`"pools"`), []byte(`"pool"`), 1), signer, signer)
	case "cut":
		document = document[:len(document)/2]
	}
	return document
}

func TestCoreSessions(t *testing.T) {
	scripter.Run(t, "testdata/core", func(*testing.T) scripter.Session { return newCoreSession() })
}
