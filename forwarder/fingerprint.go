package forwarder

import (
	"github.com/cespare/xxhash/v2"

	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
	"amaranthmill/scheduler"
)

// fingerprintOf returns the identity of a request over all tries of its callers and over all
// instances. Requests with the same method, host, path, query, client account and body have
// the same fingerprint.
func fingerprintOf(x *exchange) identifier.Fingerprint {
	h := xxhash.New()
	r := x.request
	for _, part := range []string{r.Method, r.Host, r.RequestURI, string(x.match.Account)} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body)
	return identifier.Fingerprint(h.Sum64())
}

// result returns what the ending of a says about the endpoint. An endpoint
// that answers with its own error may be about to end.
func (a *attempt) result(e scheduler.Ending) quarantiner.Result {
	switch e.(type) {
	case scheduler.Completed:
		if a.isUndelimited {
			return quarantiner.ResultUndelimited
		}
		return quarantiner.ResultAnswered
	case scheduler.NotSent, scheduler.Refused:
		return quarantiner.ResultNotRun
	case scheduler.Broken:
		return quarantiner.ResultBroken
	}
	return quarantiner.ResultUnanswered
}
