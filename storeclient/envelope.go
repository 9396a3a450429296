package storeclient

import (
	"bytes"
	"fmt"
)

// The first line of a stored value names the write that stored the value.
const (
	envelopePrefix  = "write "
	writeNameLength = 32 // hexadecimal digits of a write's name
	envelopeLength  = len(envelopePrefix) + writeNameLength + 1
)

// addWriteName returns value preceded by the line that names the write.
func addWriteName(name string, value []byte) []byte {
	return fmt.Appendf(make([]byte, 0, envelopeLength+len(value)), "%s%s\n%s", envelopePrefix, name, value)
}

// splitWriteName splits a stored value into the name of its write and the value. A value without a
// name, as a writer other than this client may store, is returned unchanged.
func splitWriteName(stored []byte) (name string, value []byte) {
	if len(stored) < envelopeLength || !bytes.HasPrefix(stored, []byte(envelopePrefix)) || stored[envelopeLength-1] != '\n' {
		return "", stored
	}
	return string(stored[len(envelopePrefix) : envelopeLength-1]), stored[envelopeLength:]
}
