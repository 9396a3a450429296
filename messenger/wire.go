package messenger

import (
	"strconv"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// Paths of the HTTP exchanges.
const (
	pathUpdate      = "/news"
	pathChanges     = "/changes"
	pathStalled     = "/stalled"
	pathLeaving     = "/leaving"
	pathReport      = "/report"
	pathConnection  = "/connection"
	pathLosses      = "/losses"
	pathLimits      = "/limits"
	pathDemand      = "/demand"
	pathQuarantines = "/quarantines"
	pathReach       = "/reach"
	pathEvacuations = "/evacuations"
	pathCapacity    = "/capacity"
	pathExplain     = "/explain"
	pathValue       = "/value"
)

// withAfter returns path with the revision of the local replica as query parameter, and with the one that asks for
// references if this instance can fetch their values. Peers ignore parameters that they do not know.
func (m *Messenger) withAfter(path string, after uint64) string {
	path += "?after=" + strconv.FormatUint(after, 10)
	if m.cfg.Values.isSet() {
		path += "&" + parameterDeferLarge + "=1"
	}
	return path
}

// updateWire is the wire form of replicator.Update.
type updateWire struct {
	Era         storeclient.Era    `json:"era,omitempty"` // in which the revisions count; absent in versions before it
	Revision    uint64             `json:"revision"`
	Whole       bool               `json:"whole,omitempty"`
	InContact   bool               `json:"inContact,omitempty"`
	ContactTime formatter.Duration `json:"contactTime,omitempty"`
	AnswerAge   formatter.Duration `json:"answerAge,omitempty"`
	Entries     []changeWire       `json:"entries,omitempty"`
}

func encodeUpdate(u replicator.Update) updateWire {
	return updateWire{
		Era: u.Era, Revision: u.Revision, Whole: u.Complete, Entries: append(encodeEntries(u.Entries), encodeReferences(u.References)...),
		InContact: u.IsInContact, ContactTime: formatter.Duration(u.ContactTime), AnswerAge: formatter.Duration(u.AnswerAge),
	}
}

func (w updateWire) update() replicator.Update {
	entries, references := decodeEntries(w.Entries, w.Era)
	return replicator.Update{
		Era: w.Era, Revision: w.Revision, Complete: w.Whole, Entries: entries, References: references,
		IsInContact: w.InContact, ContactTime: max(w.ContactTime.Std(), 0), AnswerAge: max(w.AnswerAge.Std(), 0),
	}
}

// changesWire is the wire form of replicator.PeerChanges.
type changesWire struct {
	Era      storeclient.Era    `json:"era,omitempty"` // in which the revisions count; absent in versions before it
	Revision uint64             `json:"revision"`
	Entries  []changeWire       `json:"entries"`
	Age      formatter.Duration `json:"age,omitempty"`
}

type changeWire struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	Deferred bool   `json:"deferred,omitempty"` // the value is not included; pathValue returns it
	Size     int    `json:"size,omitempty"`     // of a value that is not included
}

func encodeChanges(c replicator.PeerChanges) changesWire {
	return changesWire{Era: c.Era, Revision: c.Revision, Entries: append(encodeEntries(c.Entries), encodeReferences(c.References)...), Age: formatter.Duration(c.Age)}
}

func (w changesWire) changes() replicator.PeerChanges {
	entries, references := decodeEntries(w.Entries, w.Era)
	return replicator.PeerChanges{
		Changes: storeclient.Changes{Era: w.Era, Revision: w.Revision, Entries: entries}, References: references, Age: max(w.Age.Std(), 0),
	}
}

func encodeReferences(references []replicator.Reference) []changeWire {
	var out []changeWire
	for _, r := range references {
		out = append(out, changeWire{Key: r.Key, Revision: r.Revision, Deferred: true, Size: r.Size})
	}
	return out
}

func encodeEntries(entries []storeclient.Change) []changeWire {
	var out []changeWire
	for _, e := range entries {
		out = append(out, changeWire{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	return out
}

func decodeEntries(entries []changeWire, era storeclient.Era) (out []storeclient.Change, references []replicator.Reference) {
	for _, e := range entries {
		if e.Deferred {
			references = append(references, replicator.Reference{Key: e.Key, Era: era, Revision: e.Revision, Size: max(e.Size, 0)})
			continue
		}
		out = append(out, storeclient.Change{Entry: storeclient.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}, Deleted: e.Deleted})
	}
	return out, references
}

// stalledWire reports that the requests at a group's head are stalled.
type stalledWire struct {
	Head identifier.Endpoint `json:"head"`
}

// askWire requests that a peer queries an endpoint for its report.
type askWire struct {
	Endpoint identifier.Endpoint `json:"endpoint"`
}

// reportWire is an engine's report that a peer received.
type reportWire struct {
	FabricDomain identifier.FabricDomain    `json:"fabricDomain"`
	Draining     bool                       `json:"draining"`
	ProcessStart identifier.ProcessStart    `json:"processStart"`
	Models       []string                   `json:"models"`
	Staged       []string                   `json:"staged"`
	Group        identifier.Group           `json:"group"`
	Epoch        identifier.Epoch           `json:"epoch"`
	Rank         int                        `json:"rank"`
	State        endpointlister.MemberState `json:"state"`
	Orders       uint64                     `json:"orders"`
	Busy         bool                       `json:"busy"`
}

func encodeReport(r groupformer.Reported) reportWire {
	e := r.Endpoint
	return reportWire{
		FabricDomain: e.FabricDomain, Draining: e.Draining, ProcessStart: e.ProcessStart, Models: e.Models, Staged: e.Staged,
		Group: e.Membership.Group, Epoch: e.Membership.Epoch, Rank: e.Membership.Rank, State: e.Membership.State, Orders: r.AcceptedOrders, Busy: r.Busy,
	}
}

func (w reportWire) report(id identifier.Endpoint) groupformer.Reported {
	return groupformer.Reported{ID: id, AcceptedOrders: w.Orders, Busy: w.Busy, Endpoint: endpointlister.Endpoint{
		FabricDomain: w.FabricDomain, Draining: w.Draining, ProcessStart: w.ProcessStart, Models: w.Models, Staged: w.Staged,
		Membership: endpointlister.Membership{Group: w.Group, Epoch: w.Epoch, Rank: w.Rank, State: w.State},
	}}
}

// lossReportWire is the wire form of quarantiner.Report.
type lossReportWire struct {
	Fingerprint identifier.Fingerprint `json:"fingerprint"`
	IsPart      bool                   `json:"isPart,omitempty"`
	Part        identifier.Part        `json:"part,omitempty"`
	Losses      []processWire          `json:"losses,omitempty"`
	Cleared     bool                   `json:"cleared,omitempty"`
}

// processWire is the wire form of identifier.Process.
type processWire struct {
	Endpoint     identifier.Endpoint     `json:"endpoint"`
	ProcessStart identifier.ProcessStart `json:"processStart"`
}

func encodeLossReport(r quarantiner.Report) lossReportWire {
	return lossReportWire{Fingerprint: r.Fingerprint, IsPart: r.Kind == quarantiner.KindPart, Part: r.Part, Losses: encodeProcesses(r.Losses), Cleared: r.Cleared}
}

func encodeProcesses(processes []identifier.Process) []processWire {
	var out []processWire
	for _, p := range processes {
		out = append(out, processWire{Endpoint: p.Endpoint, ProcessStart: p.Start})
	}
	return out
}

func decodeProcesses(processes []processWire) []identifier.Process {
	var out []identifier.Process
	for _, p := range processes {
		out = append(out, identifier.Process{Endpoint: p.Endpoint, Start: p.ProcessStart})
	}
	return out
}

func (w lossReportWire) report() quarantiner.Report {
	return quarantiner.Report{Fingerprint: w.Fingerprint, Kind: kindOf(w.IsPart), Part: w.Part, Losses: decodeProcesses(w.Losses), Cleared: w.Cleared}
}

func kindOf(isPart bool) quarantiner.Kind {
	if isPart {
		return quarantiner.KindPart
	}
	return quarantiner.KindRequest
}

// quarantineWire is the wire form of quarantiner.Quarantine. The fingerprint is in the form of the logs.
type quarantineWire struct {
	Fingerprint string          `json:"fingerprint"`
	IsPart      bool            `json:"isPart,omitempty"`
	Part        identifier.Part `json:"part,omitempty"`
	Losses      []processWire   `json:"losses"`
	Until       time.Time       `json:"until"`
}

func encodeQuarantine(q quarantiner.Quarantine) quarantineWire {
	return quarantineWire{Fingerprint: q.Fingerprint.String(), IsPart: q.Kind == quarantiner.KindPart, Part: q.Part, Losses: encodeProcesses(q.Losses), Until: q.Until}
}

func (w quarantineWire) quarantine() (quarantiner.Quarantine, error) {
	fp, err := identifier.ParseFingerprint(w.Fingerprint)
	return quarantiner.Quarantine{Fingerprint: fp, Kind: kindOf(w.IsPart), Part: w.Part, Losses: decodeProcesses(w.Losses), Until: w.Until}, err
}
