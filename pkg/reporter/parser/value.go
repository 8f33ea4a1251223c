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

// Value is one value of a document. The zero Value stands for an absent one: reading it returns the zero value of the
// type and adds no finding. So does reading a value that is an alias, which Parse has already reported.
type Value struct {
	doc  *document
	node *yaml.Node
}

// Present reports whether the document has the value.
func (v Value) Present() bool { return v.node != nil }

// Place returns the position of the value, or the zero Place if it is absent.
func (v Value) Place() reporter.Place {
	if !v.Present() {
		return reporter.Place{}
	}
	return v.doc.place(v.node)
}

// Report adds a finding at the position of the value, or nothing if it is absent.
func (v Value) Report(code reporter.Code, message, expected string) {
	if v.Present() {
		v.doc.report(v.node, code, message, expected)
	}
}

// scalar returns the text of the value if it is a scalar with one of tags. Otherwise it reports wrong_type, but for an
// alias, which Parse has already reported.
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
	v.reportWrongType(expected)
	return "", false
}

// reportWrongType adds a finding that v is not of the expected type, unless v is an alias, which Parse has already
// reported.
func (v Value) reportWrongType(expected string) {
	if v.node.Kind == yaml.AliasNode {
		return
	}
	v.Report("wrong_type", "found "+describeNode(v.node), expected)
}

// describeNode describes the type of node, and the text of a scalar, for a finding.
func describeNode(node *yaml.Node) string {
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

// quote quotes text for a finding and truncates it to 80 bytes.
func quote(text string) string {
	const maxQuotedBytes = 80
	if len(text) > maxQuotedBytes {
		return strconv.Quote(text[:maxQuotedBytes]) + "…"
	}
	return strconv.Quote(text)
}

// Is reports whether the value is a scalar that is written exactly as text. It adds no finding.
func (v Value) Is(text string) bool {
	return v.Present() && v.node.Kind == yaml.ScalarNode && v.node.Value == text
}

// Items returns the values of a list of minItems to maxItems entries. Fewer or more entries are a finding; entries after
// the first maxItems are left out.
func (v Value) Items(minItems, maxItems int) []Value {
	if !v.Present() {
		return nil
	}
	expected := fmt.Sprintf("a list of %d to %d entries", minItems, maxItems)
	if v.node.Kind != yaml.SequenceNode {
		v.reportWrongType(expected)
		return nil
	}
	count := len(v.node.Content)
	if count < minItems {
		v.Report("too_few", "found "+strconv.Itoa(count)+" entries", expected)
	}
	if count > maxItems {
		v.Report("too_many", "found "+strconv.Itoa(count)+" entries", expected)
		count = maxItems
	}
	items := make([]Value, 0, count)
	for _, node := range v.node.Content[:count] {
		items = append(items, Value{doc: v.doc, node: node})
	}
	return items
}

// Text returns a string. An empty string is a finding.
func (v Value) Text() string {
	text, ok := v.scalar("a string", "!!str")
	if ok && text == "" {
		v.Report("empty", "found an empty string", "a string")
	}
	return text
}

// Match returns a string that pattern matches, or "" after a finding. The pattern must be anchored at both ends to match
// the whole string; expected describes it in findings.
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

// OneOf returns a string that is one of choices, or "" after a finding.
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

// Bool returns a boolean. It must be written as true or false; YAML's other spellings, such as TRUE, are findings.
func (v Value) Bool() bool {
	text, ok := v.scalar("true or false", "!!bool")
	if ok && text != "true" && text != "false" {
		v.Report("wrong_form", "found "+quote(text), "true or false")
	}
	return text == "true"
}

var integerPattern = regexp.MustCompile(`^(0|-?[1-9][0-9]*)$`)

// Int returns a decimal integer from minimum to maximum, or 0 after a finding.
func (v Value) Int(minimum, maximum int64) int64 {
	expected := fmt.Sprintf("an integer from %d to %d", minimum, maximum)
	text, ok := v.scalar(expected, "!!int")
	if !ok {
		return 0
	}
	if !integerPattern.MatchString(text) {
		v.Report("wrong_form", "found "+quote(text), "a decimal integer without leading zeros")
		return 0
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < minimum || number > maximum {
		v.Report("out_of_range", "found "+quote(text), expected)
		return 0
	}
	return number
}

var decimalPattern = regexp.MustCompile(`^(0|[1-9][0-9]*)(\.[0-9]+)?$`)

// Float returns a decimal number from minimum to maximum, without sign or exponent, or 0 after a finding.
func (v Value) Float(minimum, maximum float64) float64 {
	expected := "a number from " + formatFloat(minimum) + " to " + formatFloat(maximum)
	text, ok := v.scalar(expected, "!!int", "!!float")
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if !decimalPattern.MatchString(text) || err != nil {
		v.Report("wrong_form", "found "+quote(text), expected)
		return 0
	}
	if number < minimum || number > maximum {
		v.Report("out_of_range", "found "+quote(text), expected)
		return 0
	}
	return number
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// Duration returns a duration that is written with its unit, such as 800ms, from minimum to maximum, or 0 after a
// finding.
func (v Value) Duration(minimum, maximum time.Duration) time.Duration {
	expected := fmt.Sprintf("a duration with its unit from %v to %v", minimum, maximum)
	text, ok := v.scalar(expected, "!!str", "!!int", "!!float")
	if !ok {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil || v.node.ShortTag() != "!!str" {
		v.Report("wrong_unit", "found "+quote(text), expected)
		return 0
	}
	if duration < minimum || duration > maximum {
		v.Report("out_of_range", "found "+quote(text), expected)
		return 0
	}
	return duration
}

var sizePattern = regexp.MustCompile(`^(0|[1-9][0-9]{0,15})(B|KiB|MiB|GiB)$`)

var unitBytes = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

// formatSize formats bytes in the largest unit that gives a whole number.
func formatSize(bytes int64) string {
	for _, unit := range []string{"GiB", "MiB", "KiB"} {
		if bytes > 0 && bytes%unitBytes[unit] == 0 {
			return strconv.FormatInt(bytes/unitBytes[unit], 10) + unit
		}
	}
	return strconv.FormatInt(bytes, 10) + "B"
}

// Bytes returns the bytes of a size that is written with its unit, such as 64KiB, from minBytes to maxBytes, or 0 after
// a finding.
func (v Value) Bytes(minBytes, maxBytes int64) int64 {
	expected := "a size with its unit (B, KiB, MiB, GiB) from " + formatSize(minBytes) + " to " + formatSize(maxBytes)
	text, ok := v.scalar(expected, "!!str", "!!int", "!!float")
	if !ok {
		return 0
	}
	parts := sizePattern.FindStringSubmatch(text)
	if parts == nil {
		v.Report("wrong_unit", "found "+quote(text), expected)
		return 0
	}
	number, err := strconv.ParseInt(parts[1], 10, 64)
	unit := unitBytes[parts[2]]
	if err != nil || number > maxBytes/unit || number*unit < minBytes {
		v.Report("out_of_range", "found "+quote(text), expected)
		return 0
	}
	return number * unit
}
