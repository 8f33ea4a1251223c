package cmd

import (
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// checkJSON is the output of bundle check -json.
type checkJSON struct {
	Bundles  []bundleJSON  `json:"bundles"`
	Findings []findingJSON `json:"findings"` // errors first, then warnings, at most 1,000 of each
	Failures []failureJSON `json:"failures"` // files that can't be read
	Errors   int           `json:"errors"`   // also those that are not listed
	Warnings int           `json:"warnings"` // also those that are not listed
}

// bundleJSON is a bundle that could be decoded.
type bundleJSON struct {
	File    string   `json:"file"`
	Name    string   `json:"name"`
	Version uint64   `json:"version"`
	Digest  string   `json:"digest"`
	Changes []string `json:"changes"` // null if there is nothing to compare with
}

// findingJSON is a finding. Line and column count from 1; 0 means unknown.
type findingJSON struct {
	Severity string `json:"severity"`
	Code     string `json:"code"`
	File     string `json:"file"`
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Message  string `json:"message"`
	Expected string `json:"expected"`
}

// failureJSON is a file that can't be read.
type failureJSON struct {
	File  string `json:"file"`
	Error string `json:"error"`
}

func (r *checkReport) printJSON(w io.Writer) error {
	out := checkJSON{
		Bundles: []bundleJSON{}, Findings: []findingJSON{}, Failures: []failureJSON{},
		Errors: r.errors.Len(), Warnings: r.warnings.Len(),
	}
	for _, b := range r.bundles {
		changes := b.changes()
		if b.inForce.known && changes == nil {
			changes = []string{}
		}
		out.Bundles = append(out.Bundles, bundleJSON{
			File: b.path, Name: b.bundle.Name(), Version: b.bundle.Version(), Digest: b.bundle.Digest(), Changes: changes,
		})
	}
	for _, f := range slices.Concat(r.errors.List(), r.warnings.List()) {
		out.Findings = append(out.Findings, newFindingJSON(f))
	}
	for _, f := range r.failures {
		out.Failures = append(out.Failures, failureJSON{File: f.path, Error: f.err.Error()})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(out))
}

func newFindingJSON(f reporter.Finding) findingJSON {
	return findingJSON{
		Severity: f.Severity().String(), Code: string(f.Code()), File: f.Place().File(), Line: f.Place().Line(), Column: f.Place().Column(),
		Message: f.Message(), Expected: f.Expected(),
	}
}
