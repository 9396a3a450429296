package linker

import "amaranthmill/internal/identifier"

// maxOrigins bounds the instances whose relayed messages are tracked.
const maxOrigins = 4096

// deduplicator identifies relayed messages that have already arrived over another session. It
// rejects messages of earlier processes of their origin.
type deduplicator map[identifier.Instance]*window

// window holds the sequence numbers seen from one origin: the highest and, as a bitmap, the
// 64 below it.
type window struct {
	incarnation uint64
	highest     uint64
	seenBelow   uint64 // bit i stands for highest-1-i
}

// accept reports whether a message is new, and records its sequence number.
func (d deduplicator) accept(from identifier.Instance, incarnation, sequence uint64) bool {
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
		// In Go a shift by 64 or more gives zero.
		w.seenBelow = w.seenBelow<<shift | 1<<(shift-1)
		w.highest = sequence
		return true
	}
	distance := w.highest - sequence
	if distance == 0 || distance > 64 {
		return false
	}
	bit := uint64(1) << (distance - 1)
	if w.seenBelow&bit != 0 {
		return false
	}
	w.seenBelow |= bit
	return true
}

// supersede rejects messages in transit from processes of the origin before incarnation.
func (d deduplicator) supersede(from identifier.Instance, incarnation uint64) {
	if w := d[from]; w != nil && incarnation > w.incarnation {
		*w = window{incarnation: incarnation}
	}
}
