package forwarder

import (
	"github.com/cespare/xxhash/v2"

	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
	"amaranthmill/scheduler"
)

// partMarker distinguishes the fingerprints of parts from those of requests, whose hash begins with a method.
const partMarker = "part"

// partsOf returns the parts of the prompt of x that other requests for the same service may share.
func partsOf(x *exchange) []quarantiner.Part {
	var out []quarantiner.Part
	for _, id := range x.fields.Parts {
		h := xxhash.New()
		for _, text := range []string{partMarker, string(x.service), string(id)} {
			_, _ = h.WriteString(text) // never fails
			_, _ = h.Write([]byte{0})
		}
		out = append(out, quarantiner.Part{Fingerprint: identifier.Fingerprint(h.Sum64()), ID: id})
	}
	return out
}

// partFingerprints returns the fingerprints of parts.
func partFingerprints(parts []quarantiner.Part) []identifier.Fingerprint {
	var out []identifier.Fingerprint
	for _, p := range parts {
		out = append(out, p.Fingerprint)
	}
	return out
}

// restrictedBy returns the fingerprint whose restriction refused x, and the ID of the part that
// has it. The ID is empty if it is the fingerprint of x.
func (x *exchange) restrictedBy(o scheduler.Outcome) (identifier.Fingerprint, identifier.Part) {
	n, ok := o.(scheduler.NotRun)
	if !ok || n.Fingerprint == 0 {
		return x.identity, ""
	}
	for _, p := range x.parts {
		if p.Fingerprint == n.Fingerprint {
			return p.Fingerprint, p.ID
		}
	}
	return n.Fingerprint, ""
}
