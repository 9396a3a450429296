package scheduler

// Indexes of penalties.
const (
	penaltyPrefill = iota
	penaltyRemoteDomain
	penaltyFabricSpan
	penaltyMissingMember
	penaltyCold
	penaltyNewTarget
	penaltyFailureRate
	penaltySlow
	penaltyFailuresInARow
	penaltyCount
)

// penaltyNames are the names of the penalties in explanations.
var penaltyNames = [penaltyCount]string{"prefill", "remoteDomain", "fabricSpan", "missingMember", "cold", "newTarget", "failureRate", "slow", "failuresInARow"}

// penalties holds the parts of a target's penalty, each as a fraction of its slots.
type penalties [penaltyCount]float64

// record records a part unless p is nil, and returns it.
func (p *penalties) record(i int, v float64) float64 {
	if p != nil {
		p[i] = v
	}
	return v
}

// named returns the penalties that are not zero.
func (p *penalties) named() []Penalty {
	var out []Penalty
	for i, v := range p {
		if v != 0 {
			out = append(out, Penalty{Name: penaltyNames[i], Value: v})
		}
	}
	return out
}
