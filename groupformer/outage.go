package groupformer

import (
	"math"
	"time"

	"amaranthmill/internal/identifier"
)

// Parameters of the groups that are out of service at any time because they lose members.
const (
	groupLossWindow = 15 * time.Second // time constant of the decaying rate of losses
	groupLossOutage = 6 * time.Second  // from the loss of a member until another group serves: it takes some 2 s to notice, and the rest to form
)

// lossRate is an exponentially decaying rate of lost groups.
type lossRate struct {
	perSecond float64
	at        time.Time
}

func (r *lossRate) valueAt(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/groupLossWindow.Seconds())
}

// countLoss counts a group that is dissolved because it can't serve any more. A group that is lent or drains is none.
func (f *Former) countLoss(now time.Time, g *group, reason string) {
	if reason == "lent" || reason == "draining" || g.phase != phaseServing {
		return
	}
	k := poolKey{g.service, g.model.Name}
	r := f.groupLosses[k]
	if r == nil {
		r = &lossRate{}
		f.groupLosses[k] = r
	}
	r.perSecond, r.at = r.valueAt(now)+1/groupLossWindow.Seconds(), now
}

// groupsOut returns the mean number of a model's groups that are out of service because of losses. A model with large
// groups loses more of them, because each lost engine ends the group of all its members.
func (f *Former) groupsOut(now time.Time, service identifier.Service, model string) float64 {
	r := f.groupLosses[poolKey{service, model}]
	if r == nil {
		return 0
	}
	return r.valueAt(now) * groupLossOutage.Seconds()
}
