package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/jessevdk/go-flags"

	"amaranthmill/administrator"
	"amaranthmill/bundler"
	"amaranthmill/messenger"
)

// exitCode is the exit code of the process.
type exitCode int

const (
	codeDone        exitCode = 0
	codeFailed      exitCode = 1
	codeUsage       exitCode = 2
	codeInvalid     exitCode = 3
	codeConflict    exitCode = 4
	codeRefused     exitCode = 5
	codeNotFound    exitCode = 6
	codeUnavailable exitCode = 7
	codeTampered    exitCode = 8
	codeNotInForce  exitCode = 9
)

const exitCodeHelp = `Exit codes: 0 done; 1 failed; 2 wrong usage; 3 the bundle is invalid; 4 another version won;
5 the token, role, key or signature does not permit it; 6 no such bundle or quarantine; 7 no instance or
platform in reach, or the outcome is not settled (repeating is safe); 8 the audit trail was
tampered with; 9 the version is not in force everywhere.`

// usageError reports an invalid command line, or a bundle from an instance that fails a check.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// tamperedError reports the faults that the verification of the audit trail found.
type tamperedError struct{ faults []string }

func (e *tamperedError) Error() string {
	return "the audit trail was tampered with:\n  " + strings.Join(e.faults, "\n  ")
}

// notInForceError reports that a version is not in force on every instance.
type notInForceError struct{ message string }

func (e *notInForceError) Error() string { return e.message }

// report writes err to stderr in the chosen output format and returns its exit code.
func report(stderr io.Writer, output string, err error) exitCode {
	if err == nil {
		return codeDone
	}
	code := codeOf(err)
	if output == "json" {
		text, _ := json.Marshal(failure{ExitCode: code, Message: err.Error(), Problem: findProblem(err)}) // marshalling these fields cannot fail
		fmt.Fprintln(stderr, string(text))
		return code
	}
	fmt.Fprintln(stderr, "millctl: "+describe(err))
	return code
}

// failure is the JSON form of an error.
type failure struct {
	ExitCode exitCode               `json:"exitCode"`
	Message  string                 `json:"message"`
	Problem  *administrator.Problem `json:"problem,omitempty"`
}

func codeOf(err error) exitCode {
	switch {
	case errors.As(err, new(*flags.Error)), errors.As(err, new(*usageError)):
		return codeUsage
	case errors.As(err, new(*bundler.InvalidError)):
		return codeInvalid
	case errors.As(err, new(*administrator.UnreachableError)):
		return codeUnavailable
	case errors.As(err, new(*tamperedError)):
		return codeTampered
	case errors.As(err, new(*notInForceError)):
		return codeNotInForce
	case errors.As(err, new(*messenger.NotQuarantinedError)):
		return codeNotFound
	}
	if p := findProblem(err); p != nil {
		return codeOfStatus(p.Status)
	}
	return codeFailed
}

func codeOfStatus(status int) exitCode {
	switch status {
	case http.StatusUnprocessableEntity:
		return codeInvalid
	case http.StatusConflict:
		return codeConflict
	case http.StatusUnauthorized, http.StatusForbidden:
		return codeRefused
	case http.StatusNotFound:
		return codeNotFound
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return codeUnavailable
	}
	return codeFailed
}

func findProblem(err error) *administrator.Problem {
	var p *administrator.Problem
	if errors.As(err, &p) {
		return p
	}
	return nil
}

// describe returns the text of err, with one line for each problem of a bundle.
func describe(err error) string {
	var invalid *bundler.InvalidError
	if errors.As(err, &invalid) {
		return formatProblems("the bundle is invalid", invalid.Problems)
	}
	if p := findProblem(err); p != nil {
		return formatProblems(p.Detail, p.Errors)
	}
	return err.Error()
}

func formatProblems(head string, problems []bundler.Problem) string {
	lines := []string{head}
	for _, p := range problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}
