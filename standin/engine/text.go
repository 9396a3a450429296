package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of the answer to prompt under adapter. It depends on nothing else.
func Token(prompt, adapter string, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", adapter, prompt, i))
	return fmt.Sprintf("w%x ", h&0xffff)
}

// Text returns the complete answer of n tokens to prompt under adapter.
func Text(prompt, adapter string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, adapter, i))
	}
	return b.String()
}
