package auditor

import "fmt"

// Anchor identifies an entry that a reader found in the trail. It is stored outside the trail.
type Anchor struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
}

// Fault is an inconsistency within the trail, or between the trail and an anchor.
type Fault struct {
	Sequence uint64 `json:"sequence"`
	Message  string `json:"message"`
}

// Verifier checks a trail page by page, starting with the first page. The zero value is
// ready for use. A Verifier is not safe for concurrent use.
type Verifier struct {
	Anchors []Anchor // entries that the trail must hold
	Faults  []Fault

	lastPage uint64
	last     Entry
}

// Add checks p, which must be the next page.
func (v *Verifier) Add(p Page) {
	if p.Number != v.lastPage+1 {
		v.addFault(v.last.Sequence+1, "page %d follows page %d; pages are missing", p.Number, v.lastPage)
	}
	v.lastPage = p.Number
	for _, e := range p.Entries {
		v.checkEntry(e)
	}
}

// Finish checks that the trail reaches every anchor and returns an anchor for its last entry.
func (v *Verifier) Finish() Anchor {
	for _, a := range v.Anchors {
		if a.Sequence > v.last.Sequence {
			v.addFault(a.Sequence, "the trail ends at entry %d, but an anchor names entry %d; its end was cut off", v.last.Sequence, a.Sequence)
		}
	}
	return Anchor{Sequence: v.last.Sequence, Hash: v.last.Hash}
}

func (v *Verifier) checkEntry(e Entry) {
	if e.Sequence != v.last.Sequence+1 {
		v.addFault(e.Sequence, "entry %d follows entry %d", e.Sequence, v.last.Sequence)
	}
	if e.Previous != v.last.Hash {
		v.addFault(e.Sequence, "does not hold the hash of the entry before; one of them was changed")
	}
	if e.Hash != e.hash() {
		v.addFault(e.Sequence, "its content does not match its hash; it was changed")
	}
	for _, a := range v.Anchors {
		if a.Sequence == e.Sequence && a.Hash != e.Hash {
			v.addFault(e.Sequence, "its hash differs from the anchor's; the trail was rewritten")
		}
	}
	v.last = e
}

func (v *Verifier) addFault(sequence uint64, format string, args ...any) {
	v.Faults = append(v.Faults, Fault{Sequence: sequence, Message: fmt.Sprintf(format, args...)})
}
