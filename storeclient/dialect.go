package storeclient

import (
	"net/url"
	"time"
)

// Operation names a call of the service, in metrics and errors too.
type Operation string

// The operations.
const (
	OperationGet       Operation = "get"
	OperationList      Operation = "list"
	OperationWatch     Operation = "watch"
	OperationCreate    Operation = "create"
	OperationSwap      Operation = "swap"
	OperationDelete    Operation = "delete"
	OperationGrant     Operation = "grant"
	OperationRenew     Operation = "renew"
	OperationRevoke    Operation = "revoke"
	OperationInstances Operation = "instances"
)

// isWrite reports whether the call may have an effect that lasts.
func (o Operation) isWrite() bool {
	switch o {
	case OperationGet, OperationList, OperationWatch, OperationInstances:
		return false
	}
	return true
}

// Call is one call of the service before it has the form of a Dialect.
type Call struct {
	Operation Operation
	Key       string        // of an entry; the common prefix of a list or watch
	After     string        // the last key of the page before, of a list; empty for the first page
	Revision  uint64        // that the key must have, of a write; that a watch looks after
	Value     []byte        // of a create or swap
	Lease     LeaseID       // of the key, or the lease that the call is about
	TTL       time.Duration // of a grant
	Wait      time.Duration // that a watch is held at most
	ETag      string        // of the answer that is known already; empty for none
}

// Request is a call in the form of a Dialect. Body is sent as JSON unless it is nil.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Body   any
}

// Result says what became of a call.
type Result uint8

// The results.
const (
	ResultOK        Result = iota
	ResultNotFound         // there is no such key
	ResultNoLease          // there is no such lease
	ResultConflict         // the key has another revision
	ResultCompacted        // the history that a watch asked for is gone
	ResultUnchanged        // the answer known by its ETag holds
	ResultBusy             // nothing was done; another time it may be
	ResultRefused          // nothing was done
	ResultFailed           // the call may have had its effect
)

// Reply is what the service said.
type Reply struct {
	Result    Result
	Entries   []StoredEntry // of a get, list or watch
	Revision  uint64        // of the write; of the key at a conflict; of the service at a list or watch
	HasMore   bool          // another page of the list follows
	Lease     LeaseID       // of a grant
	Instances []Listing     // of the platform's list
}

// StoredEntry is an entry as the service keeps it, with the name of its write in the value.
type StoredEntry struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool // in a watch
}

// entry returns e as the callers see it.
func (e StoredEntry) entry() Entry {
	_, value := open(e.Value)
	return Entry{Key: e.Key, Value: value, Revision: e.Revision}
}

// Dialect is the form of the calls on the wire. Its methods must be safe for concurrent use.
type Dialect interface {
	// Encode puts a call into its form.
	Encode(c Call) Request
	// Decode reads the answer to c. An error says that the body makes no sense.
	Decode(c Call, status int, body []byte) (Reply, error)
}
