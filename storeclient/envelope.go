package storeclient

import (
	"bytes"
	"fmt"
)

// The first line of a stored value names the write that stored it.
const (
	envelopePrefix = "write "
	envelopeName   = 32 // hexadecimal digits of a write's name
	envelopeLength = len(envelopePrefix) + envelopeName + 1
)

// seal puts the line that names a write before value.
func seal(name string, value []byte) []byte {
	return fmt.Appendf(make([]byte, 0, envelopeLength+len(value)), "%s%s\n%s", envelopePrefix, name, value)
}

// open splits a stored value into the name of its write and the value. A value without
// a name, as another writer may store it, is returned whole.
func open(stored []byte) (name string, value []byte) {
	if len(stored) < envelopeLength || !bytes.HasPrefix(stored, []byte(envelopePrefix)) || stored[envelopeLength-1] != '\n' {
		return "", stored
	}
	return string(stored[len(envelopePrefix) : envelopeLength-1]), stored[envelopeLength:]
}
