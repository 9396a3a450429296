package storeclient

import (
	"net/http"
	"net/url"
	"time"
)

// Operation is the kind of a call to the store. Its text appears in metrics and errors.
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

// isWrite reports whether the call may have a lasting effect.
func (o Operation) isWrite() bool {
	switch o {
	case OperationGet, OperationList, OperationWatch, OperationInstances:
		return false
	}
	return true
}

// Call is one call to the store, independent of the Dialect.
type Call struct {
	Operation Operation
	Key       string        // key of an entry; common prefix of a list or watch; lease of a renewal or revocation
	After     string        // last key of the previous page of a list; empty for the first page
	Revision  uint64        // revision that the key must have for a write; revision after which a watch starts
	Era       Era           // in which Revision and Lease of a write count; zero if that is not known
	Value     []byte        // value of a create or swap
	Lease     LeaseID       // lease to attach to the key, or to renew or revoke
	TTL       time.Duration // time to live of a granted lease
	Wait      time.Duration // longest time for which the store holds a watch
	ETag      string        // ETag of the answer that the caller has; empty for none
}

// dependsOnEra reports whether the call is a write whose meaning depends on the era: the store may have given its
// revision or its lease out again in a later one.
func (c Call) dependsOnEra() bool { return c.Operation.isWrite() && (c.Revision > 0 || c.Lease != "") }

// Request is a call as encoded by a Dialect. Body is sent as JSON unless it is nil.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Body   any
}

// Result is the outcome of a call.
type Result uint8

// The results.
const (
	ResultOK        Result = iota
	ResultNotFound         // the key does not exist
	ResultNoLease          // the lease does not exist
	ResultConflict         // the key has another revision
	ResultCompacted        // the history that a watch requested has been compacted
	ResultUnchanged        // the answer with the call's ETag is still current
	ResultBusy             // the call had no effect, and a later attempt may succeed
	ResultRefused          // the call had no effect
	ResultFailed           // the call may have had an effect
)

// showsState reports whether an answer with this result shows the state of the store at some revision.
func (r Result) showsState() bool {
	switch r {
	case ResultCompacted, ResultBusy, ResultRefused, ResultFailed:
		return false
	}
	return true
}

// Reply is a decoded answer of the store.
type Reply struct {
	Result    Result
	Entries   []StoredEntry // result of a get, list or watch
	Revision  uint64        // revision of a write; of the key at a conflict; of the store at a list or watch
	HasMore   bool          // another page of the list follows
	Lease     LeaseID       // granted lease
	Instances []Listing     // the platform's list of instances
}

// StoredEntry is an entry as the store holds it: Value starts with the line that names its write.
type StoredEntry struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool // in the answer to a watch: the key was deleted
}

// entry returns e without the name of its write.
func (e StoredEntry) entry() Entry {
	_, value := splitWriteName(e.Value)
	return Entry{Key: e.Key, Value: value, Revision: e.Revision}
}

// Dialect is the wire format of the calls. Its methods must be safe for concurrent use.
type Dialect interface {
	// Encode returns the request of a call.
	Encode(c Call) Request
	// Decode decodes the answer to c. It returns an error if the body is malformed.
	Decode(c Call, status int, body []byte) (Reply, error)
	// Era returns the era that the header of an answer names, zero if it names none, or what is wrong with the header.
	Era(h http.Header) (era Era, problem string)
}
