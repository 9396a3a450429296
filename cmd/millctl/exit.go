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
)

// exitCode is the exit code of a run.
type exitCode int

const (
	codeDone        exitCode = 0
	codeFailed      exitCode = 1
	codeUsage       exitCode = 2
	codeInvalid     exitCode = 3
	codeConflict    exitCode = 4
	codeRefused     exitCode = 5
	codeMissing     exitCode = 6
	codeUnavailable exitCode = 7
	codeTampered    exitCode = 8
	codeNotSpread   exitCode = 9
)

const exitCodeHelp = `Exit codes: 0 done; 1 failed; 2 wrong usage; 3 the bundle is invalid; 4 another version won;
5 the token, role, key or signature does not permit it; 6 no such bundle; 7 no instance or
platform in reach, or the outcome is not settled (repeating is safe); 8 the audit trail was
tampered with; 9 the version is not in force everywhere.`

// usageError says what is wrong with the command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// tamperedError says that the audit trail has faults.
type tamperedError struct{ faults []string }

func (e *tamperedError) Error() string {
	return "the audit trail was tampered with:\n  " + strings.Join(e.faults, "\n  ")
}

// notSpreadError says that instances lack a version.
type notSpreadError struct{ message string }

func (e *notSpreadError) Error() string { return e.message }

// report writes err for the operator and returns the exit code that stands for it.
func report(stderr io.Writer, output string, err error) exitCode {
	if err == nil {
		return codeDone
	}
	code := codeOf(err)
	if output == "json" {
		text, _ := json.Marshal(failure{ExitCode: code, Message: err.Error(), Problem: problemIn(err)}) // the fields always marshal
		fmt.Fprintln(stderr, string(text))
		return code
	}
	fmt.Fprintln(stderr, "millctl: "+describe(err))
	return code
}

// failure is an error in JSON.
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
	case errors.As(err, new(*notSpreadError)):
		return codeNotSpread
	}
	if p := problemIn(err); p != nil {
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
		return codeMissing
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return codeUnavailable
	}
	return codeFailed
}

func problemIn(err error) *administrator.Problem {
	var p *administrator.Problem
	if errors.As(err, &p) {
		return p
	}
	return nil
}

// describe returns err's text with one line for each fault of a bundle.
func describe(err error) string {
	var invalid *bundler.InvalidError
	if errors.As(err, &invalid) {
		return faultLines("the bundle is invalid", invalid.Problems)
	}
	if p := problemIn(err); p != nil {
		return faultLines(p.Detail, p.Errors)
	}
	return err.Error()
}

func faultLines(head string, problems []bundler.Problem) string {
	lines := []string{head}
	for _, p := range problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}
