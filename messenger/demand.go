package messenger

import (
	"context"
	"net/http"

	"amaranthmill/groupformer"
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
)

// demandWire is the wire form of groupformer.DemandReported.
type demandWire struct {
	Instance      identifier.Instance      `json:"instance"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Elapsed       formatter.Duration       `json:"elapsed"`
	Models        []modelDemandWire        `json:"models"`
}

// modelDemandWire is the wire form of groupformer.ModelDemand.
type modelDemandWire struct {
	Service      identifier.Service `json:"service"`
	Model        string             `json:"model"`
	Requests     int                `json:"requests"`
	Prompts      int                `json:"prompts,omitempty"`
	PromptTokens int                `json:"promptTokens,omitempty"`
	Answers      int                `json:"answers,omitempty"`
	AnswerTokens int                `json:"answerTokens,omitempty"`
	Judged       int                `json:"judged,omitempty"`
	MissedGoal   int                `json:"missedGoal,omitempty"`
}

func encodeDemand(r groupformer.DemandReported) demandWire {
	out := demandWire{Instance: r.Instance, FailureDomain: r.FailureDomain, Elapsed: formatter.Duration(r.Elapsed)}
	for _, m := range r.Models {
		out.Models = append(out.Models, modelDemandWire(m))
	}
	return out
}

// demand decodes a report. The second result is false if the report is malformed: it names no instance, covers no time,
// or has a count below zero.
func (w demandWire) demand() (groupformer.DemandReported, bool) {
	out := groupformer.DemandReported{Instance: w.Instance, FailureDomain: w.FailureDomain, Elapsed: w.Elapsed.Std()}
	for _, m := range w.Models {
		if min(m.Requests, m.Prompts, m.PromptTokens, m.Answers, m.AnswerTokens, m.Judged, m.MissedGoal) < 0 {
			return groupformer.DemandReported{}, false
		}
		out.Models = append(out.Models, groupformer.ModelDemand(m))
	}
	return out, w.Instance != "" && w.Elapsed > 0
}

// ReportDemand reports the work that arrived at this instance to leader, the instance that forms groups. A report that
// does not arrive is not sent again, because the next one replaces it. A leader of an earlier version answers with status 404, and
// one that is not a known peer gets no report.
func (m *Messenger) ReportDemand(ctx context.Context, leader identifier.Instance, r groupformer.DemandReported) {
	p, ok := m.cfg.Peers.Find(leader)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout)
	defer cancel()
	if err := m.exchange(ctx, p, http.MethodPost, pathDemand, encodeDemand(r), nil); err != nil {
		m.cfg.Logger.Debug().Err(err).Str("peer", string(p.Instance)).Msg("demand not reported to the instance that forms groups")
	}
}

func (m *Messenger) serveDemand(w http.ResponseWriter, r *http.Request) {
	var notice demandWire
	if !readBody(w, r, &notice) {
		return
	}
	report, ok := notice.demand()
	if !ok {
		http.Error(w, "the demand report is malformed", http.StatusBadRequest)
		return
	}
	m.cfg.OnDemand(report)
	w.WriteHeader(http.StatusNoContent)
}
