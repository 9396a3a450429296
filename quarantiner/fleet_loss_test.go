package quarantiner_test

import (
	"slices"
	"time"

	"amaranthmill/quarantiner"
	"amaranthmill/scheduler"
)

func (f *fleet) stepQuarantiner(i *simInstance, e quarantiner.Event) {
	process := i.process
	for _, a := range slices.Clone(i.quarantiner.Step(f.now, e)) {
		switch a := a.(type) {
		case quarantiner.CheckConnection:
			f.after(f.random(5), func() { f.check(i, process, a) })
		case quarantiner.Restrict:
			if _, known := f.knownAt[i.number]; !known && a.Fingerprint == crashingPart && a.Restriction == scheduler.Quarantined {
				f.knownAt[i.number] = f.now
			}
			f.stepScheduler(i, scheduler.RestrictionSet(a))
		case quarantiner.Announce:
			for _, to := range f.instances {
				if to != i {
					f.announce(i, to, process, a.Report, f.now)
				}
			}
		case quarantiner.StoreLoss:
			f.after(f.random(20), func() { f.storeLoss(i, a) })
		case quarantiner.DeleteLoss:
			f.after(f.random(20), func() { f.deleteLoss(i, a) })
		case quarantiner.WakeAt:
			f.after(a.At.Sub(f.now), func() {
				if i.up && i.process == process {
					f.stepQuarantiner(i, quarantiner.Ticked{})
				}
			})
		}
	}
}

func (f *fleet) check(i *simInstance, process int, a quarantiner.CheckConnection) {
	e := f.endpoints[a.Process.Endpoint]
	if i.up && i.process == process {
		f.stepQuarantiner(i, quarantiner.ConnectionChecked{Process: a.Process, Accepted: f.accepts || e.up})
	}
}

// announce sends a report to a peer after a delay, and again while the link between the two is
// cut or the message is lost.
func (f *fleet) announce(from, to *simInstance, process int, r quarantiner.Report, first time.Time) {
	f.after(f.random(120), func() {
		if !from.up || from.process != process || f.now.Sub(first) >= announceTTL {
			return
		}
		if f.cut[link(from, to)] || !to.up || f.rand.IntN(10) == 0 {
			f.stepQuarantiner(from, quarantiner.AnnouncementFailed{Fingerprint: r.Fingerprint})
			f.after(announceRetry, func() { f.announce(from, to, process, r, first) })
			return
		}
		f.stepQuarantiner(to, quarantiner.ReportReceived{Report: r})
	})
}

func link(a, b *simInstance) [2]int { return [2]int{min(a.number, b.number), max(a.number, b.number)} }

func (f *fleet) storeLoss(i *simInstance, l quarantiner.StoreLoss) {
	if !i.up || i.storeCut || f.storeDown || f.stored[l] != 0 {
		return
	}
	f.revision++
	f.stored[l] = f.revision
	f.propagate()
}

func (f *fleet) deleteLoss(i *simInstance, a quarantiner.DeleteLoss) {
	l := quarantiner.StoreLoss{Fingerprint: a.Fingerprint, Kind: a.Kind, Process: a.Process}
	if !i.up || i.storeCut || f.storeDown || f.stored[l] != a.Revision {
		return
	}
	delete(f.stored, l)
	f.propagate()
}
