package linker

import "amaranthmill/internal/identifier"

// maxOrigins bounds the instances whose messages are told apart.
const maxOrigins = 4096

// dedupe tells a relayed message that is new from one that came by another way, and
// drops those of an earlier process of their origin.
type dedupe map[identifier.Instance]*window

// window has the numbers seen of one origin: the highest and, as bits, the 64 below it.
type window struct {
	incarnation uint64
	highest     uint64
	below       uint64 // bit i stands for highest-1-i
}

// accept reports whether the message is new, and remembers it.
func (d dedupe) accept(from identifier.Instance, incarnation, sequence uint64) bool {
	w := d[from]
	if w == nil {
		if len(d) >= maxOrigins {
			return false
		}
		w = &window{}
		d[from] = w
	}
	if incarnation < w.incarnation || sequence == 0 {
		return false
	}
	if incarnation > w.incarnation {
		*w = window{incarnation: incarnation}
	}
	return w.add(sequence)
}

func (w *window) add(sequence uint64) bool {
	if sequence > w.highest {
		shift := sequence - w.highest
		// A shift by 64 or more gives zero.
		w.below = w.below<<shift | 1<<(shift-1)
		w.highest = sequence
		return true
	}
	back := w.highest - sequence
	if back == 0 || back > 64 {
		return false
	}
	bit := uint64(1) << (back - 1)
	if w.below&bit != 0 {
		return false
	}
	w.below |= bit
	return true
}

// supersede drops what an earlier process of the origin still has under way.
func (d dedupe) supersede(from identifier.Instance, incarnation uint64) {
	if w := d[from]; w != nil && incarnation > w.incarnation {
		*w = window{incarnation: incarnation}
	}
}
