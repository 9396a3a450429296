package grouper

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"amaranthmill/storeclient"
)

// retryWait is the delay before a Grouper reads from the platform again after a failure.
const retryWait = time.Second

// recordPrefix returns the common prefix of the platform keys of the failure domain's records.
func (g *Grouper) recordPrefix() string { return "groups/" + string(g.cfg.Policy.FailureDomain) + "/" }

// watch reads the records and follows their changes until ctx ends.
func (g *Grouper) watch(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := g.readRecords(ctx)
		for err == nil && ctx.Err() == nil {
			after, err = g.awaitChanges(ctx, after)
		}
		if err != nil {
			g.cfg.Logger.Warn().Err(err).Msg("group records not read; retrying")
		}
		sleep(ctx, retryWait)
	}
}

// readRecords reads and publishes all records, and returns the highest revision among them.
func (g *Grouper) readRecords(ctx context.Context) (uint64, error) {
	entries, err := g.cfg.Platform.List(ctx, g.recordPrefix())
	if err != nil {
		return 0, eris.Wrap(err, "list group records")
	}
	after := uint64(0)
	records := map[string]StoredRecord{}
	for _, e := range entries {
		after = max(after, e.Revision)
		if s, ok := g.decodeRecord(e); ok {
			records[e.Key] = s
		}
	}
	g.publish(func() {
		for key, s := range g.records {
			if s.Revision > max(after, records[key].Revision) {
				records[key] = s // saved by this process after the list was read
			}
		}
		g.records = records
	})
	return after, nil
}

// awaitChanges waits for changes after a revision, publishes them, and returns the revision
// from which to continue.
func (g *Grouper) awaitChanges(ctx context.Context, after uint64) (uint64, error) {
	changes, err := g.cfg.Platform.Watch(ctx, g.recordPrefix(), after)
	if err != nil {
		return 0, eris.Wrap(err, "watch group records")
	}
	if len(changes.Entries) == 0 {
		return changes.Revision, nil
	}
	g.publish(func() {
		for _, ch := range changes.Entries {
			s, ok := g.decodeRecord(ch.Entry)
			switch {
			case ch.Deleted:
				delete(g.records, ch.Key)
			case ok && s.Revision > g.records[ch.Key].Revision:
				g.records[ch.Key] = s
			}
		}
	})
	return changes.Revision, nil
}

// publish applies change to the records and passes them to the core and to OnRecords.
func (g *Grouper) publish(change func()) {
	g.publishMu.Lock()
	defer g.publishMu.Unlock()
	g.mu.Lock()
	change()
	stored := make([]StoredRecord, 0, len(g.records))
	for _, s := range g.records {
		stored = append(stored, s)
		g.fabricDomains[s.Record.FabricDomain] = true
	}
	g.mu.Unlock()
	slices.SortFunc(stored, func(a, b StoredRecord) int { return cmp.Compare(a.Record.FabricDomain, b.Record.FabricDomain) })
	g.step.Submit(RecordsRead{Records: stored})
	records := make([]Record, len(stored))
	for i := range stored {
		records[i] = stored[i].Record
	}
	g.cfg.OnRecords(records)
}

// decodeRecord decodes a record. It logs and rejects an invalid one.
func (g *Grouper) decodeRecord(e storeclient.Entry) (StoredRecord, bool) {
	s := StoredRecord{Revision: e.Revision}
	err := json.Unmarshal(e.Value, &s.Record)
	if err == nil {
		err = s.Record.Check()
	}
	if err != nil {
		g.cfg.Logger.Error().Err(err).Str("key", e.Key).Msg("invalid group record ignored")
		return StoredRecord{}, false
	}
	return s, true
}

// save writes a record by compare-and-swap and reports the outcome to the core.
func (g *Grouper) save(s Save) {
	ctx, cancel := context.WithTimeout(g.ctx, g.cfg.Policy.LeaseTTL)
	defer cancel()
	e, err := g.writeRecord(ctx, s)
	g.meters.countSave(ctx, err)
	if err == nil {
		stored := StoredRecord{Record: s.Record, Revision: e.Revision}
		g.step.Submit(Saved{Stored: stored})
		g.publish(func() { g.records[e.Key] = stored })
		return
	}
	g.cfg.Logger.Warn().Err(err).Str("fabricDomain", string(s.Record.FabricDomain)).Msg("group record not saved; determining its state on the platform")
	g.step.Submit(g.resolveFailedSave(s, err))
}

func (g *Grouper) writeRecord(ctx context.Context, s Save) (storeclient.Entry, error) {
	value, err := json.Marshal(s.Record)
	if err != nil {
		return storeclient.Entry{}, eris.Wrap(err, "encode a group record")
	}
	if s.Revision == 0 {
		return g.cfg.Platform.Create(ctx, g.recordKey(s.Record), value, "")
	}
	return g.cfg.Platform.Swap(ctx, g.recordKey(s.Record), s.Revision, value)
}

func (g *Grouper) recordKey(r Record) string { return g.recordPrefix() + string(r.FabricDomain) }

// resolveFailedSave determines the record on the platform after a save failed with cause. It
// repeats the read until the read succeeds or the Grouper stops.
func (g *Grouper) resolveFailedSave(s Save, cause error) SaveFailed {
	failed := SaveFailed{FabricDomain: s.Record.FabricDomain}
	if _, ok := errors.AsType[*storeclient.UnavailableError](cause); ok {
		sleep(g.ctx, retryWait)
		failed.CurrentKnown = true // the platform did not process the write
		return failed
	}
	for g.ctx.Err() == nil {
		e, err := g.cfg.Platform.Get(g.ctx, g.recordKey(s.Record))
		if _, ok := errors.AsType[*storeclient.NotFoundError](err); ok {
			failed.CurrentKnown = true
			return failed
		}
		if err == nil {
			failed.Current, failed.CurrentKnown = g.decodeRecord(e)
			return failed
		}
		sleep(g.ctx, retryWait)
	}
	return failed
}

// sleep returns after d, or earlier if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
