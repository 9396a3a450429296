package router

// holders is how many targets the table remembers for one block.
const holders = 4

// prefixTable remembers which targets ran a prompt with which blocks. It holds at most
// twice its bound: when the younger half is full, the older half is dropped.
type prefixTable struct {
	bound int // of each half
	young map[uint64]blockHolders
	old   map[uint64]blockHolders
}

// blockHolders are the numbers of the targets that ran a block, the latest first; zero for none.
type blockHolders [holders]uint32

// cachedPrefix says that a target holds the first blocks of a prompt.
type cachedPrefix struct {
	num    uint32
	blocks int
}

func newPrefixTable(blocks int) prefixTable {
	bound := max(blocks/2, 1)
	return prefixTable{bound: bound, young: make(map[uint64]blockHolders)}
}

// add remembers that the target num ran a prompt with these blocks.
func (pt *prefixTable) add(blocks []uint64, num uint32) {
	for _, b := range blocks {
		h := pt.holders(b)
		h.moveToFront(num)
		if len(pt.young) >= pt.bound {
			pt.old, pt.young = pt.young, make(map[uint64]blockHolders, pt.bound)
		}
		pt.young[b] = h
	}
}

func (pt *prefixTable) holders(block uint64) blockHolders {
	if h, ok := pt.young[block]; ok {
		return h
	}
	return pt.old[block]
}

func (h *blockHolders) moveToFront(num uint32) {
	i := 0
	for i < holders-1 && h[i] != num {
		i++
	}
	copy(h[1:i+1], h[:i])
	h[0] = num
}

// find appends to dst the targets that hold the longest prefixes of blocks, the
// longest first, each once. A target that holds a block holds all before it.
func (pt *prefixTable) find(dst []cachedPrefix, blocks []uint64) []cachedPrefix {
	for i := len(blocks) - 1; i >= 0 && len(dst) < holders; i-- {
		for _, num := range pt.holders(blocks[i]) {
			if num != 0 && !contains(dst, num) {
				dst = append(dst, cachedPrefix{num: num, blocks: i + 1})
			}
		}
	}
	return dst
}

func contains(found []cachedPrefix, num uint32) bool {
	for _, c := range found {
		if c.num == num {
			return true
		}
	}
	return false
}
