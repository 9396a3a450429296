package quarantiner

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
)

// maxExposures bounds the exposures of an instance; further attempts are not followed.
const maxExposures = 8192

// exposure is an attempt without a complete answer whose endpoint may end because of it.
type exposure struct {
	fingerprint identifier.Fingerprint
	parts       []Part
	endedAt     time.Time
	checking    bool // a check of the connection is pending
}

// expose follows the endpoint of an attempt without a complete answer. A process that
// disappeared from the list during the attempt is a loss. An endpoint that drains ends for
// another reason.
func (q *Quarantiner) expose(now time.Time, e AttemptEnded) {
	endpoint, ok := q.find(e.Process)
	x := exposure{fingerprint: e.Fingerprint, parts: e.Parts, endedAt: now, checking: e.Result == ResultBroken}
	if endedAt, ended := q.ended[e.Process]; !ok && ended && now.Sub(endedAt) < q.cfg.ExposureTTL {
		q.lose(now, x, e.Process, SourceDelisted)
	}
	if !ok || endpoint.Draining || q.exposureCount >= maxExposures {
		return
	}
	q.count(x, 1)
	if x.checking {
		if _, pending := q.checks[e.Process]; !pending {
			q.checks[e.Process] = now
			q.emit(CheckConnection{Process: e.Process, Address: endpoint.Address})
		}
	}
	q.exposures[e.Process] = append(q.exposures[e.Process], x)
}

// count adds n, which is 1 or -1, to the counts of exposures to which x contributes.
func (q *Quarantiner) count(x exposure, n int) {
	q.exposureCount += n
	if !x.checking {
		return
	}
	if q.checking[x.fingerprint] += n; q.checking[x.fingerprint] == 0 {
		delete(q.checking, x.fingerprint)
	}
}

// endCheck ends the check of a process. If its address accepted no connection, the process
// counts as ended under the requests whose connections broke. The other exposures, and all
// those of an address that accepted the connection, remain until the list shows the end of the
// process: a process that accepts connections may be about to end.
func (q *Quarantiner) endCheck(now time.Time, p identifier.Process, accepted bool) {
	delete(q.checks, p)
	for _, x := range q.removeExposures(p) {
		if x.checking && !accepted {
			q.lose(now, x, p, SourceUnreachable)
			continue
		}
		x.checking = false
		q.exposures[p] = append(q.exposures[p], x)
		q.count(x, 1)
		q.update(now, x.fingerprint)
	}
}

// changeEndpoints changes the list. The processes that have disappeared from it have ended.
func (q *Quarantiner) changeEndpoints(now time.Time, c EndpointsChanged) {
	maps.DeleteFunc(q.ended, func(_ identifier.Process, at time.Time) bool { return now.Sub(at) >= q.cfg.ExposureTTL })
	if c.Complete {
		c.Removed = q.missingIn(c.Changed)
	}
	for _, id := range c.Removed {
		q.recordEnded(now, id)
		delete(q.endpoints, id)
	}
	for _, e := range c.Changed {
		if e.ProcessStart != q.endpoints[e.ID].ProcessStart {
			q.recordEnded(now, e.ID)
		}
		q.endpoints[e.ID] = e
	}
	for _, p := range slices.SortedFunc(maps.Keys(q.exposures), identifier.Process.Compare) {
		switch endpoint, ok := q.find(p); {
		case !ok:
			for _, x := range q.removeExposures(p) {
				q.lose(now, x, p, SourceDelisted)
			}
		case endpoint.Draining:
			for _, x := range q.removeExposures(p) {
				q.update(now, x.fingerprint)
			}
		}
	}
}

// missingIn returns the listed endpoints that a new list lacks.
func (q *Quarantiner) missingIn(list []endpointlister.Endpoint) []identifier.Endpoint {
	missing := maps.Clone(q.endpoints)
	for _, e := range list {
		delete(missing, e.ID)
	}
	return slices.Collect(maps.Keys(missing))
}

// recordEnded records that the listed process of an endpoint is no longer listed, unless the endpoint
// was draining.
func (q *Quarantiner) recordEnded(now time.Time, id identifier.Endpoint) {
	if e, ok := q.endpoints[id]; ok && !e.Draining {
		q.ended[identifier.Process{Endpoint: id, Start: e.ProcessStart}] = now
	}
}

// expireExposures forgets the exposures older than ExposureTTL, and the checks whose result
// did not come within CheckTimeout.
func (q *Quarantiner) expireExposures(now time.Time) {
	for _, p := range slices.SortedFunc(maps.Keys(q.checks), identifier.Process.Compare) {
		if now.Sub(q.checks[p]) >= q.cfg.CheckTimeout {
			q.endCheck(now, p, true)
		}
	}
	for _, p := range slices.SortedFunc(maps.Keys(q.exposures), identifier.Process.Compare) {
		list := q.exposures[p]
		expired := 0
		for expired < len(list) && now.Sub(list[expired].endedAt) >= q.cfg.ExposureTTL {
			expired++
		}
		q.forgetExposures(p, expired)
	}
}

// removeExposures removes and returns the exposures of a process.
func (q *Quarantiner) removeExposures(p identifier.Process) []exposure {
	list := q.exposures[p]
	if len(list) == 0 {
		return nil
	}
	delete(q.exposures, p)
	delete(q.checks, p)
	for _, x := range list {
		q.count(x, -1)
	}
	return list
}

// find returns the listed endpoint of a process.
func (q *Quarantiner) find(p identifier.Process) (endpointlister.Endpoint, bool) {
	e, ok := q.endpoints[p.Endpoint]
	return e, ok && e.ProcessStart == p.Start
}

func (q *Quarantiner) isListed(p identifier.Process) bool {
	_, ok := q.find(p)
	return ok
}

// proveAlive forgets the exposures of a process that has answered a request later than
// ProofDelay after them. An earlier answer may look complete because the process has ended: without
// a length, it ends with its connection.
func (q *Quarantiner) proveAlive(now time.Time, p identifier.Process) {
	list := q.exposures[p]
	old := 0
	for old < len(list) && !list[old].checking && now.Sub(list[old].endedAt) >= q.cfg.ProofDelay {
		old++
	}
	q.forgetExposures(p, old)
}

// forgetExposures forgets the first n exposures of a process.
func (q *Quarantiner) forgetExposures(p identifier.Process, n int) {
	list := q.exposures[p]
	if q.exposures[p] = list[n:]; n == len(list) {
		delete(q.exposures, p)
	}
	for _, x := range list[:n] {
		q.count(x, -1)
		q.restrict(x.fingerprint)
	}
}
