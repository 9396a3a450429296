package claimer

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// Record is a claim as stored in the platform's store.
type Record struct {
	Digest   Digest
	Token    Token
	Instance identifier.Instance // the claimant
	ClosesAt time.Time           // after this time, the claimant is presumed dead
	Lease    storeclient.LeaseID // the claim expires with this lease; "" means never
	Result   Result              // nil while the claim is open
}

// recordWire is the stored form of a Record.
type recordWire struct {
	Digest    string              `json:"digest"`
	Token     Token               `json:"token"`
	Instance  identifier.Instance `json:"instance"`
	ClosesAt  time.Time           `json:"closesAt"`
	Lease     storeclient.LeaseID `json:"lease,omitempty"`
	State     string              `json:"state"`
	Status    int                 `json:"status,omitempty"`
	Header    http.Header         `json:"header,omitempty"`
	Body      []byte              `json:"body,omitempty"`
	Truncated bool                `json:"truncated,omitempty"`
}

// RecordError reports that a stored claim cannot be decoded.
type RecordError struct {
	Path  string
	Cause error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("claimer: stored claim %s is unreadable: %v", e.Path, e.Cause)
}

func (e *RecordError) Unwrap() error { return e.Cause }

// encode returns the stored form of r.
func (r Record) encode() ([]byte, error) {
	w := recordWire{
		Digest: hex.EncodeToString(r.Digest[:]), Token: r.Token, Instance: r.Instance,
		ClosesAt: r.ClosesAt.UTC().Round(0), Lease: r.Lease, State: resultName(r.Result),
	}
	if a, ok := r.Result.(Answered); ok {
		w.Status, w.Header, w.Body, w.Truncated = a.Status, a.Header, a.Body, a.Truncated
	}
	return json.Marshal(w)
}

// decodeRecord decodes the stored form of the claim at path.
func decodeRecord(path string, value []byte) (Record, error) {
	var w recordWire
	if err := json.Unmarshal(value, &w); err != nil {
		return Record{}, &RecordError{Path: path, Cause: err}
	}
	r := Record{Token: w.Token, Instance: w.Instance, ClosesAt: w.ClosesAt, Lease: w.Lease}
	digest, err := hex.DecodeString(w.Digest)
	if err != nil || len(digest) != len(r.Digest) {
		return Record{}, &RecordError{Path: path, Cause: fmt.Errorf("invalid digest %q", w.Digest)}
	}
	copy(r.Digest[:], digest)
	answered := Answered{Status: w.Status, Header: w.Header, Body: w.Body, Truncated: w.Truncated}
	for _, result := range []Result{nil, answered, NotRun{}, Unknown{}} {
		if resultName(result) == w.State {
			r.Result = result
			return r, nil
		}
	}
	return Record{}, &RecordError{Path: path, Cause: fmt.Errorf("unknown state %q", w.State)}
}
