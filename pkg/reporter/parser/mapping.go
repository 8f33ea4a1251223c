package parser

import (
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// Mapping is a YAML mapping whose keys are known beforehand. The zero Mapping is absent: its values are absent too
// and report nothing.
type Mapping struct {
	self   Value
	values map[string]*yaml.Node
}

// Mapping reads the value as a mapping that may have only the keys known. Unknown and doubled keys are findings.
func (v Value) Mapping(known ...string) Mapping {
	if !v.Present() {
		return Mapping{}
	}
	if v.node.Kind != yaml.MappingNode {
		v.wrongType("a mapping")
		return Mapping{}
	}
	m := Mapping{self: v, values: make(map[string]*yaml.Node, len(v.node.Content)/2)}
	for i := 0; i+1 < len(v.node.Content); i += 2 {
		m.add(v.node.Content[i], v.node.Content[i+1], known)
	}
	return m
}

func (m Mapping) add(key, value *yaml.Node, known []string) {
	if key.Kind != yaml.ScalarNode || !slices.Contains(known, key.Value) {
		m.self.doc.report(key, "unknown_key", "unknown key "+strconv.Quote(key.Value), "one of "+strings.Join(known, ", "))
		return
	}
	if first, doubled := m.values[key.Value]; doubled {
		m.self.doc.report(key, "doubled_key",
			"key "+strconv.Quote(key.Value)+" stands already at line "+strconv.Itoa(first.Line), "each key once")
		return
	}
	m.values[key.Value] = value
}

// Present reports whether there is a mapping.
func (m Mapping) Present() bool { return m.self.Present() }

// Place returns where the mapping stands.
func (m Mapping) Place() reporter.Place { return m.self.Place() }

// Report adds a finding at the mapping.
func (m Mapping) Report(code reporter.Code, message, expected string) {
	m.self.Report(code, message, expected)
}

// Optional returns the value of key, which is absent when the mapping lacks it.
func (m Mapping) Optional(key string) Value {
	node, ok := m.values[key]
	if !ok {
		return Value{}
	}
	return Value{doc: m.self.doc, node: node}
}

// Required returns the value of key; a missing key is a finding.
func (m Mapping) Required(key string) Value {
	value := m.Optional(key)
	if m.Present() && !value.Present() {
		m.Report("missing_key", "key "+strconv.Quote(key)+" is missing", key)
	}
	return value
}
