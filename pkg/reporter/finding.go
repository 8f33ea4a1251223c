// Package reporter collects the errors found in a document, each with its place in the file, so that all of them are
// reported together.
package reporter

import (
	"cmp"
	"strconv"
	"strings"
	"unicode"
)

// Code is the kind of a finding in snake case, such as unknown_key.
type Code string

// Place is a position in a file. Line and column count from 1; 0 means unknown. In the zero Place the file is
// unknown as well.
type Place struct {
	file   string
	line   int
	column int
}

// NewPlace returns the Place at line and column of file.
func NewPlace(file string, line, column int) Place {
	return Place{file: file, line: line, column: column}
}

// File returns the name of the file, as passed to NewPlace.
func (p Place) File() string { return p.file }

// Line returns the line, counted from 1, or 0 if it is unknown.
func (p Place) Line() int { return p.line }

// Column returns the column, counted from 1, or 0 if it is unknown.
func (p Place) Column() int { return p.column }

// String formats the place as file:line:column.
func (p Place) String() string {
	return p.file + ":" + strconv.Itoa(p.line) + ":" + strconv.Itoa(p.column)
}

func (p Place) compare(q Place) int {
	return cmp.Or(cmp.Compare(p.file, q.file), cmp.Compare(p.line, q.line), cmp.Compare(p.column, q.column))
}

// Severity says whether a document with a finding is rejected. The zero Severity is SeverityError.
type Severity int

// The severities.
const (
	SeverityError   Severity = iota // the document is rejected
	SeverityWarning                 // the document is accepted, but probably does not do what is meant
)

// String returns "error" or "warning".
func (s Severity) String() string {
	if s == SeverityWarning {
		return "warning"
	}
	return "error"
}

// Finding is one error in a document, or one warning about it.
type Finding struct {
	severity Severity
	place    Place
	code     Code
	message  string
	expected string
}

// NewFinding returns an error. message describes what was found and expected what would be valid; expected may be "".
func NewFinding(place Place, code Code, message, expected string) Finding {
	return Finding{place: place, code: code, message: message, expected: expected}
}

// NewWarning returns a warning. The arguments are those of NewFinding.
func NewWarning(place Place, code Code, message, expected string) Finding {
	f := NewFinding(place, code, message, expected)
	f.severity = SeverityWarning
	return f
}

// Severity returns whether the finding is an error or a warning.
func (f Finding) Severity() Severity { return f.severity }

// Place returns the position of the finding.
func (f Finding) Place() Place { return f.place }

// Code returns the kind of the finding.
func (f Finding) Code() Code { return f.code }

// Message describes what was found.
func (f Finding) Message() string { return f.message }

// Expected describes what would be valid, or is "".
func (f Finding) Expected() string { return f.expected }

// String formats the finding as one line, without a trailing newline. Only a warning names its severity.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.place.String())
	b.WriteString(": ")
	if f.severity == SeverityWarning {
		b.WriteString("warning: ")
	}
	b.WriteString(string(f.code))
	b.WriteString(": ")
	b.WriteString(f.message)
	if f.expected != "" {
		b.WriteString(" (expected ")
		b.WriteString(f.expected)
		b.WriteString(")")
	}
	return strings.Map(replaceControl, b.String())
}

// replaceControl replaces control characters and the separators U+2028 and U+2029 by a space, so that text that a finding
// quotes from the document can't break its line, or control the terminal, with these.
func replaceControl(r rune) rune {
	if unicode.IsControl(r) || r == '\u2028' || r == '\u2029' {
		return ' '
	}
	return r
}
