package auditor

import "fmt"

// Anchor names an entry that a reader saw in the trail, to be kept elsewhere.
type Anchor struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
}

// Fault is a place where the trail contradicts itself or an anchor.
type Fault struct {
	Sequence uint64 `json:"sequence"`
	Message  string `json:"message"`
}

// Verifier checks a trail page by page from the first. The zero value is ready for use;
// it is not safe for concurrent use.
type Verifier struct {
	Anchors []Anchor // must be in the trail
	Faults  []Fault

	page uint64
	last Entry
}

// Add checks the next page.
func (v *Verifier) Add(p Page) {
	if p.Number != v.page+1 {
		v.fault(v.last.Sequence+1, "page %d follows page %d; pages are missing", p.Number, v.page)
	}
	v.page = p.Number
	for _, e := range p.Entries {
		v.entry(e)
	}
}

// Finish checks that the trail reaches every anchor and returns an anchor of its end.
func (v *Verifier) Finish() Anchor {
	for _, a := range v.Anchors {
		if a.Sequence > v.last.Sequence {
			v.fault(a.Sequence, "the trail ends at entry %d, but an anchor names entry %d; its end was cut off", v.last.Sequence, a.Sequence)
		}
	}
	return Anchor{Sequence: v.last.Sequence, Hash: v.last.Hash}
}

func (v *Verifier) entry(e Entry) {
	if e.Sequence != v.last.Sequence+1 {
		v.fault(e.Sequence, "entry %d follows entry %d", e.Sequence, v.last.Sequence)
	}
	if e.Previous != v.last.Hash {
		v.fault(e.Sequence, "does not hold the hash of the entry before; one of them was changed")
	}
	if e.Hash != e.hash() {
		v.fault(e.Sequence, "its content does not match its hash; it was changed")
	}
	for _, a := range v.Anchors {
		if a.Sequence == e.Sequence && a.Hash != e.Hash {
			v.fault(e.Sequence, "its hash differs from the anchor's; the trail was rewritten")
		}
	}
	v.last = e
}

func (v *Verifier) fault(sequence uint64, format string, args ...any) {
	v.Faults = append(v.Faults, Fault{Sequence: sequence, Message: fmt.Sprintf(format, args...)})
}
