package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/forwarder"
	"amaranthmill/messenger"
	"amaranthmill/scheduler"
)

// explainRequest is a command line that explains a request.
const explainRequest = "explain --host api.example.org --path /v1/chat --account observatory --model m1 --tokens 800"

// newExplainMessenger returns a messenger of an instance whose answer is explanation.
func newExplainMessenger(explanation forwarder.Explanation, evacuations ...messenger.Evacuation) *messenger.Messenger {
	return messenger.New(messenger.Config{
		Instance: "marfa-1", FailureDomain: "marfa", Peers: &messenger.Peers{}, Evacuations: func() []messenger.Evacuation { return evacuations },
		Explain: func(forwarder.Query) forwarder.Explanation { return explanation },
	})
}

// explainedBy returns an explanation with a decision and two candidates.
func explainedBy(d scheduler.Decision) forwarder.Explanation {
	at := time.Unix(1000, 0)
	return forwarder.Explanation{
		At: at, Version: 7, Route: "chat", Account: "observatory", Priority: 1,
		Services: []forwarder.ServiceExplanation{{Service: "guides", Weight: 1, Pool: "guides/m1", Explanation: scheduler.Explanation{
			Decision: d, Candidates: []scheduler.Candidate{
				{Target: &scheduler.Target{ID: "i-1", FailureDomain: "marfa", Slots: 34}, Load: 0.4, Score: 0.55, LearnedLimit: 0.7, LoadAge: 120 * time.Millisecond, Penalties: []scheduler.Penalty{{Name: "remoteDomain", Value: 0.15}}},
				{Target: &scheduler.Target{ID: "i-2", FailureDomain: "alpine", Slots: 34}, Obstacle: scheduler.ObstacleLimited, Until: at.Add(2 * time.Second), LoadAge: -1, ColdUntil: at.Add(3 * time.Second), RateLimit: 15, StalledSince: at.Add(-time.Second)},
			},
		}}},
	}
}

// TestExplainPlacement shows each kind of decision, in words and as JSON.
func TestExplainPlacement(t *testing.T) {
	sent := scheduler.Decision{Target: &scheduler.Target{ID: "i-1"}}
	checkOutputs(t, newExplainMessenger(explainedBy(sent), messenger.Evacuation{FailureDomain: "laredo"}), map[string]string{
		explainRequest:                                   "pool guides/m1, service guides, weight 1: sent to i-1",
		explainRequest + " --method GET":                 "version 7, evacuated domains laredo\nroute chat, account observatory, priority 1",
		"--output json " + explainRequest:                `"remoteDomain": 0.15`,
		explainRequest + " --output json":                `"loadReportAge": "120ms"`,
		"explain --path /v1/chat --host api.example.org": "0.70           120ms       yes                 remoteDomain +0.15",
		"explain --host api.example.org --path /v1/":     "no: limited for 2s  cold for 3s, limit 15/s, stalled for 1s",
		"explain --help":                                 "listen.peers",
	})
	at := time.Unix(1000, 0)
	for want, d := range map[string]scheduler.Decision{
		"waits (full) at position 3, expected to be sent in 240ms, given up after 1.5s":             {Reason: scheduler.ReasonFull, Position: 3, ExpectedAt: at.Add(240 * time.Millisecond), GivenUpAt: at.Add(1500 * time.Millisecond)},
		"waits (noTarget) at position 1, expected to be sent at an unknown time, given up after 1s": {Reason: scheduler.ReasonNoTarget, Position: 1, GivenUpAt: at.Add(time.Second)},
		"refused (evacuated), retry after 3s":                                                       {Reason: scheduler.ReasonEvacuated, RetryAfter: 3 * time.Second},
		"sent through peer alpine-2":                                                                {Peer: "alpine-2"},
	} {
		checkOutputs(t, newExplainMessenger(explainedBy(d)), map[string]string{explainRequest: want})
	}
	refused := forwarder.Explanation{Version: 7, Refusal: forwarder.Refusal{Status: 404, Reason: "noRoute", Detail: "no route for this host"}}
	checkOutputs(t, newExplainMessenger(refused), map[string]string{explainRequest: "refused before it is scheduled: noRoute (status 404): no route for this host"})
}

// TestExplainOfSeveralInstances guards against an explanation that fails as a whole because one instance is of an older
// version or does not answer, and against differences between instances that are not shown.
func TestExplainOfSeveralInstances(t *testing.T) {
	is := is.New(t)
	sent := explainedBy(scheduler.Decision{Target: &scheduler.Target{ID: "i-1"}})
	late := sent
	late.Version, late.Services = 6, nil
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	current, same := serve(newExplainMessenger(sent).Handler()), serve(newExplainMessenger(sent).Handler())
	behind := serve(newExplainMessenger(late, messenger.Evacuation{FailureDomain: "laredo"}).Handler())
	old := serve(http.NotFoundHandler())
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	gone := closed.Listener.Addr().String()
	ask := func(addresses ...string) (string, exitCode) {
		var output bytes.Buffer
		line := strings.Fields(explainRequest)
		for _, a := range addresses {
			line = append(line, "--address", a)
		}
		code := run(t.Context(), line, &output, &output)
		return output.String(), code
	}

	output, code := ask(old, gone, current, behind)
	is.Equal(code, codeDone)
	is.True(strings.Contains(output, old+": the instance is of a version without explanations (status 404)"))
	is.True(strings.Contains(output, gone+": ")) // the instance that does not answer is named
	is.True(strings.Contains(output, "sent to i-1"))
	is.True(strings.Contains(output, "differ in: configuration version"))
	is.True(strings.Contains(output, behind+": 6"))
	is.True(strings.Contains(output, "differ in: evacuated domains"))
	is.True(strings.Contains(output, current+": guides/m1:i-1 guides/m1:i-2"))

	output, code = ask(current, same)
	is.Equal(code, codeDone)
	is.True(!strings.Contains(output, "differ")) // the instances agree

	output, code = ask(old)
	is.Equal(code, codeFailed)
	is.True(strings.Contains(output, "version without explanations"))
	output, code = ask(gone)
	is.Equal(code, codeUnavailable)
	is.True(strings.Contains(output, gone))
}

// TestExplainJSONHoldsDifferences guards against a JSON form that leaves out the instances that have not answered.
func TestExplainJSONHoldsDifferences(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(newExplainMessenger(explainedBy(scheduler.Decision{Peer: "alpine-2"})).Handler())
	defer s.Close()
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	var output bytes.Buffer
	line := append(strings.Fields("--output json "+explainRequest), "--address", s.Listener.Addr().String(), "--address", old.Listener.Addr().String())
	is.Equal(run(t.Context(), line, &output, &output), codeDone)
	var report placementReport
	is.NoErr(json.Unmarshal(output.Bytes(), &report))
	is.Equal(len(report.Instances), 2)
	is.Equal(string(report.Instances[0].Explanation.Services[0].Decision.Peer), "alpine-2")
	is.True(report.Instances[1].Explanation == nil && report.Instances[1].Problem != "")
	is.Equal(len(report.Differences), 0)
}

// TestExplainOfWrongInput guards against wrong input that is sent to instances, or whose error does not name the flag.
func TestExplainOfWrongInput(t *testing.T) {
	asked := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked++ }))
	defer s.Close()
	for line, want := range map[string]string{
		"explain":                                       "--host and --path",
		"explain --path /v1/":                           "--host: missing",
		"explain --host a":                              "--path: missing",
		"explain --host https://a --path /v":            "--host: \"https://a\" is no host name",
		"explain --host a --path v1":                    "--path: \"v1\" does not begin with a slash",
		"explain --host a --path / --method get":        "--method: \"get\" is no HTTP method",
		"explain --host a --path / --tokens=-3":         "--tokens: -3 is negative",
		"explain --host a --path / --tokens many":       "--tokens",
		"explain --host a --path / --account b --key c": "--account, --key: give only one",
		"explain --host a --path / full-1 entry.log":    "not both",
		"explain --host a --path / --address here":      "--address: \"here\" is not IP:PORT",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			var output bytes.Buffer
			is.Equal(run(t.Context(), append([]string{"--address", s.Listener.Addr().String()}, strings.Fields(line)...), &output, &output), codeUsage)
			is.True(strings.Contains(output.String(), want))
		})
	}
	is.New(t).Equal(asked, 0)
	unknown := forwarder.Explanation{Version: 7, Refusal: forwarder.Refusal{Reason: "unknownAccount", Detail: `version 7 has no client account "observatory" with a key`}}
	u := httptest.NewServer(newExplainMessenger(unknown).Handler())
	defer u.Close()
	var output bytes.Buffer
	is.New(t).Equal(run(t.Context(), append(strings.Fields(explainRequest), "--address", u.Listener.Addr().String()), &output, &output), codeUsage)
	is.New(t).True(strings.Contains(output.String(), `--account: version 7 has no client account "observatory"`))
}
