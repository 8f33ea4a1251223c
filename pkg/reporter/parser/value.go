package parser

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// Value is one value of a document. The zero Value is absent: reading it gives a zero and reports nothing.
type Value struct {
	doc  *document
	node *yaml.Node
}

// Present reports whether the document has the value.
func (v Value) Present() bool { return v.node != nil }

// Place returns where the value stands; the zero Place when it is absent.
func (v Value) Place() reporter.Place {
	if !v.Present() {
		return reporter.Place{}
	}
	return v.doc.place(v.node)
}

// Report adds a finding at the value, or nothing when it is absent.
func (v Value) Report(code reporter.Code, message, expected string) {
	if v.Present() {
		v.doc.report(v.node, code, message, expected)
	}
}

// scalar returns the text of a scalar with one of tags. An alias has been reported already.
func (v Value) scalar(expected string, tags ...string) (string, bool) {
	if !v.Present() || v.node.Kind == yaml.AliasNode {
		return "", false
	}
	if v.node.Kind == yaml.ScalarNode {
		for _, tag := range tags {
			if v.node.ShortTag() == tag {
				return v.node.Value, true
			}
		}
	}
	v.wrongType(expected)
	return "", false
}

func (v Value) wrongType(expected string) {
	if v.node.Kind == yaml.AliasNode {
		return
	}
	v.Report("wrong_type", "found "+describe(v.node), expected)
}

func describe(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	if node.ShortTag() == "!!null" {
		return "nothing"
	}
	return strings.TrimPrefix(node.ShortTag(), "!!") + " " + quote(node.Value)
}

// quote returns text in quotes, cut when it is long.
func quote(text string) string {
	const longest = 80
	if len(text) > longest {
		return strconv.Quote(text[:longest]) + "…"
	}
	return strconv.Quote(text)
}

// Is reports whether the value is a scalar written as text; it adds no finding.
func (v Value) Is(text string) bool {
	return v.Present() && v.node.Kind == yaml.ScalarNode && v.node.Value == text
}

// Items returns the values of a list, at most most of them; fewer than least and more than most are findings.
func (v Value) Items(least, most int) []Value {
	if !v.Present() {
		return nil
	}
	expected := fmt.Sprintf("a list of %d to %d entries", least, most)
	if v.node.Kind != yaml.SequenceNode {
		v.wrongType(expected)
		return nil
	}
	count := len(v.node.Content)
	if count < least {
		v.Report("too_few", "found "+strconv.Itoa(count)+" entries", expected)
	}
	if count > most {
		v.Report("too_many", "found "+strconv.Itoa(count)+" entries", expected)
		count = most
	}
	items := make([]Value, 0, count)
	for _, node := range v.node.Content[:count] {
		items = append(items, Value{doc: v.doc, node: node})
	}
	return items
}

// Text returns a string that is not empty.
func (v Value) Text() string {
	text, ok := v.scalar("a string", "!!str")
	if ok && text == "" {
		v.Report("empty", "found an empty string", "a string")
	}
	return text
}

// Match returns a string that pattern matches whole; expected describes the pattern.
func (v Value) Match(pattern *regexp.Regexp, expected string) string {
	text, ok := v.scalar(expected, "!!str")
	if !ok {
		return ""
	}
	if !pattern.MatchString(text) {
		v.Report("wrong_form", "found "+quote(text), expected)
		return ""
	}
	return text
}

// OneOf returns a string that is one of choices.
func (v Value) OneOf(choices ...string) string {
	expected := "one of " + strings.Join(choices, ", ")
	text, ok := v.scalar(expected, "!!str")
	if !ok {
		return ""
	}
	for _, choice := range choices {
		if text == choice {
			return text
		}
	}
	v.Report("wrong_form", "found "+quote(text), expected)
	return ""
}

// Bool returns true or false, written in just these words.
func (v Value) Bool() bool {
	text, ok := v.scalar("true or false", "!!bool")
	if ok && text != "true" && text != "false" {
		v.Report("wrong_form", "found "+quote(text), "true or false")
	}
	return text == "true"
}

var integer = regexp.MustCompile(`^(0|-?[1-9][0-9]*)$`)

// Int returns a decimal integer from least to most.
func (v Value) Int(least, most int64) int64 {
	expected := fmt.Sprintf("an integer from %d to %d", least, most)
	text, ok := v.scalar(expected, "!!int")
	if !ok {
		return 0
	}
	if !integer.MatchString(text) {
		v.Report("wrong_form", "found "+quote(text), "a decimal integer without leading zeros")
		return 0
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < least || number > most {
		v.Report("out_of_range", "found "+quote(text), expected)
		return 0
	}
	return number
}

var decimal = regexp.MustCompile(`^(0|[1-9][0-9]*)(\.[0-9]+)?$`)

// Float returns a decimal number from least to most.
func (v Value) Float(least, most float64) float64 {
	expected := "a number from " + number(least) + " to " + number(most)
	text, ok := v.scalar(expected, "!!int", "!!float")
	if !ok {
		return 0
	}
	found, err := strconv.ParseFloat(text, 64)
	if !decimal.MatchString(text) || err != nil {
		v.Report("wrong_form", "found "+quote(text), expected)
		return 0
	}
	if found < least || found > most {
		v.Report("out_of_range", "found "+quote(text), expected)
		return 0
	}
	return found
}

func number(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// Duration returns a time with its unit, such as 800ms, from least to most.
func (v Value) Duration(least, most time.Duration) time.Duration {
	expected := fmt.Sprintf("a time with its unit from %v to %v", least, most)
	text, ok := v.scalar(expected, "!!str", "!!int", "!!float")
	if !ok {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil || v.node.ShortTag() != "!!str" {
		v.Report("wrong_unit", "found "+quote(text), expected)
		return 0
	}
	if duration < least || duration > most {
		v.Report("out_of_range", "found "+quote(text), expected)
		return 0
	}
	return duration
}

var size = regexp.MustCompile(`^(0|[1-9][0-9]{0,15})(B|KiB|MiB|GiB)$`)

var unitBytes = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

// sizeText returns bytes in the largest unit that holds them whole.
func sizeText(bytes int64) string {
	for _, unit := range []string{"GiB", "MiB", "KiB"} {
		if bytes > 0 && bytes%unitBytes[unit] == 0 {
			return strconv.FormatInt(bytes/unitBytes[unit], 10) + unit
		}
	}
	return strconv.FormatInt(bytes, 10) + "B"
}

// Bytes returns a size with its unit, such as 64KiB, from least to most bytes.
func (v Value) Bytes(least, most int64) int64 {
	expected := "a size with its unit (B, KiB, MiB, GiB) from " + sizeText(least) + " to " + sizeText(most)
	text, ok := v.scalar(expected, "!!str", "!!int", "!!float")
	if !ok {
		return 0
	}
	parts := size.FindStringSubmatch(text)
	if parts == nil {
		v.Report("wrong_unit", "found "+quote(text), expected)
		return 0
	}
	number, err := strconv.ParseInt(parts[1], 10, 64)
	unit := unitBytes[parts[2]]
	if err != nil || number > most/unit || number*unit < least {
		v.Report("out_of_range", "found "+quote(text), expected)
		return 0
	}
	return number * unit
}
