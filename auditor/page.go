package auditor

import (
	"encoding/json"
	"fmt"
)

const (
	// keyPrefix begins the keys of the pages in the platform's service.
	keyPrefix = "audit/"
	// maxPageSize is the size in bytes at which a page is full. An append rewrites its
	// page, so a page is kept far below the platform's value size.
	maxPageSize = 64 << 10
)

// Page is a run of entries that stand under one key. Its entries never change; the last
// page grows.
type Page struct {
	Number  uint64  `json:"number"` // from 1, without gaps
	Entries []Entry `json:"entries"`
}

// last returns the page's last entry, or the zero Entry.
func (p Page) last() Entry {
	if len(p.Entries) == 0 {
		return Entry{}
	}
	return p.Entries[len(p.Entries)-1]
}

// find returns the entry with the identity id.
func (p Page) find(id string) (Entry, bool) {
	for _, e := range p.Entries {
		if e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}

func pageKey(number uint64) string { return fmt.Sprintf("%s%010d", keyPrefix, number) }

func decodePage(number uint64, value []byte) (Page, error) {
	var p Page
	if err := json.Unmarshal(value, &p); err != nil {
		return p, &PageError{Number: number, Reason: err.Error()}
	}
	if p.Number != number || len(p.Entries) == 0 {
		return p, &PageError{Number: number, Reason: fmt.Sprintf("it holds number %d with %d entries", p.Number, len(p.Entries))}
	}
	return p, nil
}

// PageError says that a page of the trail is unreadable.
type PageError struct {
	Number uint64
	Reason string
}

// Error returns the page's number and the reason.
func (e *PageError) Error() string {
	return fmt.Sprintf("auditor: page %d is unreadable: %s", e.Number, e.Reason)
}
