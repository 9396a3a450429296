package router

import (
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Size and number of the blocks in which prompts are hashed.
const (
	blockBytes = 256
	maxBlocks  = 256 // later blocks of a prompt are ignored
)

// Fingerprint returns a hash of what an endpoint would run for req. It is never zero.
func Fingerprint(req *Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{req.Method, string(req.Service), req.Path, req.Adapter} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	return max(d.Sum64(), 1)
}

// prompt has the fields of a model request that determine an engine's prefix cache.
type prompt struct {
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// PromptBlocks appends to dst the hash chain over the blocks of the prompt of req. The hash
// of each block also covers the pool, the adapter and all blocks before it. A last block that
// is not full is left out. Nothing is appended for a request that is not a model request.
func PromptBlocks(dst []uint64, req *Request) []uint64 {
	var p prompt
	if req.Kind != KindModel || json.Unmarshal(req.Body, &p) != nil {
		return dst
	}
	b := blockHasher{blocks: dst}
	b.digest.Reset()
	_, _ = io.WriteString(&b.digest, string(req.Pool)+"\x00"+req.Adapter)
	for _, m := range p.Messages {
		b.write([]byte(m.Role))
		b.write(m.Content)
	}
	return b.blocks
}

// blockHasher appends the running hash to blocks at each full block.
type blockHasher struct {
	digest xxhash.Digest
	filled int
	blocks []uint64
}

func (b *blockHasher) write(text []byte) {
	for len(text) > 0 && len(b.blocks) < maxBlocks {
		n := min(blockBytes-b.filled, len(text))
		_, _ = b.digest.Write(text[:n])
		text = text[n:]
		b.filled += n
		if b.filled == blockBytes {
			b.blocks = append(b.blocks, b.digest.Sum64())
			b.filled = 0
		}
	}
}
