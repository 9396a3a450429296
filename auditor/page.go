package auditor

import (
	"encoding/json"
	"fmt"
)

const (
	// keyPrefix is the prefix of the pages' keys in the platform's key-value store.
	keyPrefix = "audit/"
	// maxPageSize is the size limit of a page in bytes. It is far below the platform's limit
	// on the size of a value, because each append rewrites the whole page.
	maxPageSize = 64 << 10
)

// Page is a sequence of consecutive entries that are stored under one key. Entries never
// change; new ones are appended to the last page.
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

// find returns the entry with the given ID.
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

// PageError reports that a page of the trail is unreadable.
type PageError struct {
	Number uint64
	Reason string
}

// Error returns the page's number and the reason.
func (e *PageError) Error() string {
	return fmt.Sprintf("auditor: page %d is unreadable: %s", e.Number, e.Reason)
}
