package storeclient

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
)

// PlainDialect is the Dialect of the key-value store that this system defines.
type PlainDialect struct{}

var _ Dialect = PlainDialect{}

// entryWire is an entry as the store sends it.
type entryWire struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

// entriesWire is the answer to a list or a watch.
type entriesWire struct {
	Entries  []entryWire `json:"entries"`
	Revision uint64      `json:"revision"`
}

// writeWire is the body of a write.
type writeWire struct {
	Value []byte  `json:"value"`
	Lease LeaseID `json:"lease,omitempty"`
}

// revisionWire is the answer to a write, also after a conflict.
type revisionWire struct {
	Revision uint64 `json:"revision"`
}

// grantWire is the body of a grant.
type grantWire struct {
	TTL string `json:"ttl"`
}

// leaseWire is the answer to a grant.
type leaseWire struct {
	Lease LeaseID `json:"lease"`
}

// Encode returns the request of a call.
func (PlainDialect) Encode(c Call) Request {
	switch c.Operation {
	case OperationList:
		return Request{Method: http.MethodGet, Path: "/kv", Query: url.Values{"prefix": {c.Key}}}
	case OperationWatch:
		return Request{Method: http.MethodGet, Path: "/watch", Query: url.Values{
			"prefix": {c.Key}, "after": {strconv.FormatUint(c.Revision, 10)}, "wait": {c.Wait.String()},
		}}
	case OperationCreate, OperationSwap:
		return Request{Method: http.MethodPut, Path: "/kv/" + c.Key, Query: revisionQuery(c.Revision), Body: writeWire{Value: c.Value, Lease: c.Lease}}
	case OperationDelete:
		return Request{Method: http.MethodDelete, Path: "/kv/" + c.Key, Query: revisionQuery(c.Revision)}
	case OperationGrant:
		return Request{Method: http.MethodPost, Path: "/leases", Body: grantWire{TTL: c.TTL.String()}}
	case OperationRenew:
		return Request{Method: http.MethodPost, Path: "/leases/" + string(c.Lease)}
	case OperationRevoke:
		return Request{Method: http.MethodDelete, Path: "/leases/" + string(c.Lease)}
	case OperationInstances:
		return Request{Method: http.MethodGet, Path: "/instances"}
	}
	return Request{Method: http.MethodGet, Path: "/kv/" + c.Key}
}

// revisionQuery returns the query of a write that is conditional on revision.
func revisionQuery(revision uint64) url.Values {
	return url.Values{"revision": {strconv.FormatUint(revision, 10)}}
}

// Decode decodes the answer to c.
func (PlainDialect) Decode(c Call, status int, body []byte) (Reply, error) {
	switch {
	case status == http.StatusOK:
		return decodePlainAnswer(c, body)
	case status == http.StatusNotModified && c.ETag != "":
		return Reply{Result: ResultUnchanged}, nil
	case status == http.StatusNotFound:
		return Reply{Result: notFoundResult(c)}, nil
	case status == http.StatusConflict:
		return decodePlainConflict(c, body)
	case status == http.StatusTooManyRequests:
		return Reply{Result: ResultBusy}, nil
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return Reply{Result: ResultRefused}, nil
	}
	return Reply{Result: ResultFailed}, nil
}

func notFoundResult(c Call) Result {
	if c.Operation == OperationRenew || c.Operation == OperationRevoke {
		return ResultNoLease
	}
	return ResultNotFound
}

// decodePlainConflict decodes a conflict. If the key has the requested revision, the cause of the
// conflict is an expired lease.
func decodePlainConflict(c Call, body []byte) (Reply, error) {
	var rev revisionWire
	if err := json.Unmarshal(body, &rev); err != nil && c.Operation != OperationDelete {
		return Reply{}, err
	}
	if rev.Revision == c.Revision && c.Lease != "" {
		return Reply{Result: ResultNoLease}, nil
	}
	return Reply{Result: ResultConflict, Revision: rev.Revision}, nil
}

// decodePlainAnswer decodes the body of an answer with status 200.
func decodePlainAnswer(c Call, body []byte) (Reply, error) {
	switch c.Operation {
	case OperationGet:
		var e entryWire
		err := json.Unmarshal(body, &e)
		return Reply{Entries: []StoredEntry{StoredEntry(e)}}, err
	case OperationList, OperationWatch:
		var wire entriesWire
		err := json.Unmarshal(body, &wire)
		r := Reply{Revision: wire.Revision}
		for _, e := range wire.Entries {
			r.Entries = append(r.Entries, StoredEntry(e))
		}
		return r, err
	case OperationCreate, OperationSwap:
		var rev revisionWire
		err := json.Unmarshal(body, &rev)
		return Reply{Revision: rev.Revision}, err
	case OperationGrant:
		var wire leaseWire
		err := json.Unmarshal(body, &wire)
		return Reply{Lease: wire.Lease}, err
	case OperationInstances:
		var wire listingsWire
		err := json.Unmarshal(body, &wire)
		return Reply{Instances: wire.Instances}, err
	}
	return Reply{}, nil
}

// Era returns zero: the protocol names no era.
func (PlainDialect) Era(http.Header) (Era, string) { return 0, "" }
