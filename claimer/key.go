package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"amaranthmill/internal/identifier"
)

// Key identifies one non-idempotent call by the caller's Idempotency-Key within its client account.
type Key struct {
	Account        identifier.ClientAccount
	IdempotencyKey string
}

// Digest is the SHA-256 digest of a request. Requests with the same Key must have the same Digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request's method, path with query, and body.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return Digest(h.Sum(nil))
}

// path returns the key of the claim of k in the platform's store.
func (k Key) path() string {
	d := DigestOf(string(k.Account), k.IdempotencyKey, nil)
	return "claims/" + hex.EncodeToString(d[:])
}

// createdAt returns the creation time of the key if the key is a version 7 UUID, which begins
// with the milliseconds since 1970.
func (k Key) createdAt() (time.Time, bool) {
	digits := strings.ReplaceAll(k.IdempotencyKey, "-", "")
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != 16 || len(k.IdempotencyKey) != 36 || raw[6]>>4 != 7 || raw[8]>>6 != 2 {
		return time.Time{}, false
	}
	var ms [8]byte
	copy(ms[2:], raw[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:]))), true
}
