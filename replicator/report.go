package replicator

import "time"

// reportRestore logs a restore of the store and reports it.
func (r *Replicator) reportRestore(a Restored) {
	r.cfg.Logger.Warn().Uint64("era", uint64(a.Era)).Uint64("revision", a.Revision).Uint64("oldRevision", a.OldRevision).
		Msg("store was restored from an older copy, the replica follows its list from now on")
	if r.cfg.OnRestore != nil {
		r.cfg.OnRestore(a)
	}
}

// reportIgnored logs an answer that was not applied, or entries of it.
func (r *Replicator) reportIgnored(a Ignored) {
	line := r.cfg.Logger.Info().Stringer("reason", a.Reason).EmbedObject(a.Origin).Uint64("revision", a.Revision).
		Uint64("held", a.Held).Uint64("heldEra", uint64(a.HeldEra))
	if a.Key != "" {
		line = line.Str("key", a.Key)
	}
	line.Msg("answer with entries of the store was not applied, or only in part; the replica keeps what it holds")
}

func (r *Replicator) reportHealth(h Health) {
	if h.Lost {
		r.cfg.Logger.Warn().Dur("sinceAnswer", time.Since(h.Since)).Msg("store lost")
	} else {
		r.cfg.Logger.Info().Dur("lostFor", time.Since(h.Since)).Dur("sinceFailedCall", time.Since(h.Answered.PreviousAt)).Dur("answer", time.Since(h.Answered.At)).
			Msg("store regained")
	}
	if r.cfg.OnHealth != nil {
		r.cfg.OnHealth(h)
	}
}
