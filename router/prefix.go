package router

// holdersPerBlock is the number of targets that the table remembers per block.
const holdersPerBlock = 4

// prefixTable records which targets ran a prompt with which blocks. It consists of two
// generations of at most bound blocks each. When the young one is full, the old one is
// discarded and the young one takes its place.
type prefixTable struct {
	bound int // of each generation
	young map[uint64]blockHolders
	old   map[uint64]blockHolders
}

// blockHolders has the numbers of the targets that ran a block, the most recent first; zero for none.
type blockHolders [holdersPerBlock]uint32

// cachedPrefix records how many of the first blocks of a prompt a target has cached.
type cachedPrefix struct {
	num    uint32 // target.num
	blocks int
}

func newPrefixTable(blocks int) prefixTable {
	bound := max(blocks/2, 1)
	return prefixTable{bound: bound, young: make(map[uint64]blockHolders)}
}

// add records that the target num ran a prompt with these blocks.
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
	for i < holdersPerBlock-1 && h[i] != num {
		i++
	}
	copy(h[1:i+1], h[:i])
	h[0] = num
}

// find appends to dst the targets with the longest cached prefixes of blocks, the longest
// first and each target once. A target that has a block cached has all blocks before it.
func (pt *prefixTable) find(dst []cachedPrefix, blocks []uint64) []cachedPrefix {
	for i := len(blocks) - 1; i >= 0 && len(dst) < holdersPerBlock; i-- {
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
