package groupformer

import "amaranthmill/internal/identifier"

const (
	// epochsPerFence bounds the epochs that one holder of the lease issues.
	epochsPerFence = 1 << 20
	// maxEpoch is the highest epoch that counts as issued by a holder of the lease.
	maxEpoch = identifier.Epoch(1) << 62
)

// epochs issues the epochs of groups. Its zero value is ready for use.
type epochs struct {
	fence   uint64           // of the current lease
	issued  uint64           // under it
	highest identifier.Epoch // that was issued or observed
	step    identifier.Epoch // by which the next refusal of an epoch raises highest
}

// setFence starts the epochs of another lease.
func (p *epochs) setFence(fence uint64) { p.fence, p.issued = fence, 0 }

// observe takes over an epoch of an engine. A fence is higher than those before it only until the store is restored from
// an older copy, and engines refuse epochs lower than those that they have seen.
func (p *epochs) observe(e identifier.Epoch) {
	if e <= maxEpoch {
		p.highest = max(p.highest, e)
	}
}

// raise skips epochs after an engine has refused one as too low. It has seen a higher one that it no longer shows. The
// number of epochs doubles with each refusal.
func (p *epochs) raise() {
	p.step = max(2*p.step, epochsPerFence)
	p.observe(p.highest + p.step)
}

// next returns an epoch that is higher than those that any holder of the lease has issued, as far as they were observed.
func (p *epochs) next() identifier.Epoch {
	p.issued++
	p.highest = max(p.highest+1, identifier.Epoch(p.fence*epochsPerFence+p.issued))
	return p.highest
}
