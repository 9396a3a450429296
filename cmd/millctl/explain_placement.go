package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"amaranthmill/administrator"
	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
)

// explainOptions describe a request.
type explainOptions struct {
	Host    string `long:"host" value-name:"HOST" description:"host of the request, as callers send it"`
	Path    string `long:"path" value-name:"PATH" description:"path of the request; begins with a slash"`
	Method  string `long:"method" value-name:"METHOD" default:"POST" description:"method of the request; routes do not depend on it"`
	Account string `long:"account" value-name:"NAME" description:"client account that sends the request"`
	Key     string `long:"key" value-name:"KEY" description:"key of the client account, instead of --account"`
	Model   string `long:"model" value-name:"NAME" description:"model that the request names"`
	Tokens  int    `long:"tokens" value-name:"N" description:"number of prompt tokens"`
}

// isSet reports whether an option other than the method is given.
func (o *explainOptions) isSet() bool {
	return o.Host != "" || o.Path != "" || o.Account != "" || o.Key != "" || o.Model != "" || o.Tokens != 0
}

// query returns the query. Its error is *usageError.
func (o *explainOptions) query() (forwarder.Query, error) {
	problem := ""
	switch {
	case o.Host == "":
		problem = "--host: missing; give the host that callers send, such as --host api.example.org"
	case strings.ContainsAny(o.Host, "/ "):
		problem = fmt.Sprintf("--host: %q is no host name; give it without scheme and path, such as api.example.org", o.Host)
	case o.Path == "":
		problem = "--path: missing; give the path that callers send, such as --path /v1/chat"
	case !strings.HasPrefix(o.Path, "/"):
		problem = fmt.Sprintf("--path: %q does not begin with a slash; give it without scheme and host, such as /v1/chat", o.Path)
	case !isMethod(o.Method):
		problem = fmt.Sprintf("--method: %q is no HTTP method; give one in capital letters, such as POST", o.Method)
	case o.Account != "" && o.Key != "":
		problem = "--account, --key: give only one of them; the key determines the account"
	case o.Tokens < 0:
		problem = fmt.Sprintf("--tokens: %d is negative; give the number of prompt tokens, or leave the flag out if it is unknown", o.Tokens)
	}
	if problem != "" {
		return forwarder.Query{}, &usageError{message: problem}
	}
	return forwarder.Query{Host: o.Host, Path: o.Path, Method: o.Method, Account: identifier.ClientAccount(o.Account), Key: o.Key, Model: o.Model, PromptTokens: o.Tokens}, nil
}

func isMethod(text string) bool {
	return text != "" && strings.Trim(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

// explainPlacement asks every instance where the request would go. It fails if no instance explains it.
func (c *explainCommand) explainPlacement() error {
	q, err := c.Request.query()
	if err != nil {
		return err
	}
	addresses, err := c.app.addresses()
	if err != nil {
		return err
	}
	operator := messenger.Operator{HTTP: &http.Client{Timeout: instanceTimeout}}
	report := placementReport{Instances: []placementView{}, Differences: []placementDifference{}}
	answered, unknownAccounts := 0, 0
	for _, address := range addresses {
		explanation, askErr := operator.Explain(c.app.ctx, address, q)
		if askErr != nil {
			err = askErr
			report.Instances = append(report.Instances, placementView{Address: address.String(), Problem: explainProblem(askErr)})
			continue
		}
		answered++
		if r := explanation.Refusal; r != nil && r.Status == 0 {
			unknownAccounts++
			err = &usageError{message: fmt.Sprintf("--account: %s; give the name of an account of the configuration, or --key", r.Detail)}
		}
		report.Instances = append(report.Instances, placementView{Address: address.String(), Explanation: &explanation})
	}
	switch {
	case answered == 0:
		return unexplained(report, err)
	case unknownAccounts == answered:
		return err
	}
	report.Differences = differencesOf(report.Instances)
	return c.app.showResult(report, func() { c.app.printPlacements(report) })
}

// explainProblem says why an instance has not explained the request.
func explainProblem(err error) string {
	if isOlderVersion(err) {
		return "the instance is of a version without explanations (status 404)"
	}
	return err.Error()
}

func isOlderVersion(err error) bool {
	var status *messenger.StatusError
	return errors.As(err, &status) && status.Status == http.StatusNotFound
}

// unexplained returns the error if no instance has explained the request, which names each of them.
func unexplained(report placementReport, last error) error {
	var problems []string
	for _, v := range report.Instances {
		problems = append(problems, v.Address+": "+v.Problem)
	}
	err := fmt.Errorf("no instance explains the request: %s", strings.Join(problems, "; "))
	if errors.As(last, new(*messenger.StatusError)) {
		return err
	}
	return &administrator.UnreachableError{Cause: err}
}

// placementReport is the JSON form of the explanations of all instances.
type placementReport struct {
	Instances   []placementView       `json:"instances"`
	Differences []placementDifference `json:"differences"`
}

// placementView is the explanation of one instance, or why there is none.
type placementView struct {
	Address     string                 `json:"address"`
	Problem     string                 `json:"problem,omitempty"`
	Explanation *messenger.Explanation `json:"explanation,omitempty"`
}

// placementDifference is an input of the decision that instances know differently.
type placementDifference struct {
	Input  string            `json:"input"`
	Values map[string]string `json:"values"` // by address of the instance
}

// differencesOf returns the inputs in which instances differ.
func differencesOf(views []placementView) []placementDifference {
	out := []placementDifference{}
	for _, input := range []struct {
		name  string
		value func(*messenger.Explanation) string
	}{
		{"configuration version", func(e *messenger.Explanation) string { return fmt.Sprint(e.Version) }},
		{"evacuated domains", evacuatedText},
		{"candidates", candidatesText},
	} {
		d := placementDifference{Input: input.name, Values: map[string]string{}}
		distinct := map[string]bool{}
		for _, v := range views {
			if v.Explanation != nil {
				text := input.value(v.Explanation)
				d.Values[v.Address], distinct[text] = text, true
			}
		}
		if len(distinct) > 1 {
			out = append(out, d)
		}
	}
	return out
}
