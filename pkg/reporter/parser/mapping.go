package parser

import (
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// Mapping is a YAML mapping with a fixed set of allowed keys. The zero Mapping stands for an absent one: its values are
// absent too and reading them adds no findings.
type Mapping struct {
	self   Value                 // the mapping itself
	values map[string]*yaml.Node // by key
}

// Mapping reads the value as a mapping in which only the keys known are allowed. Other keys and duplicate keys are
// findings.
func (v Value) Mapping(known ...string) Mapping {
	if !v.Present() {
		return Mapping{}
	}
	if v.node.Kind != yaml.MappingNode {
		v.reportWrongType("a mapping")
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
	if first, duplicate := m.values[key.Value]; duplicate {
		m.self.doc.report(key, "doubled_key",
			"key "+strconv.Quote(key.Value)+" is already defined at line "+strconv.Itoa(first.Line), "each key only once")
		return
	}
	m.values[key.Value] = value
}

// Present reports whether the document has the mapping.
func (m Mapping) Present() bool { return m.self.Present() }

// Place returns the position of the mapping, or the zero Place if it is absent.
func (m Mapping) Place() reporter.Place { return m.self.Place() }

// Report adds a finding at the position of the mapping, or nothing if it is absent.
func (m Mapping) Report(code reporter.Code, message, expected string) {
	m.self.Report(code, message, expected)
}

// Optional returns the value of key, which is absent if the mapping lacks the key.
func (m Mapping) Optional(key string) Value {
	node, ok := m.values[key]
	if !ok {
		return Value{}
	}
	return Value{doc: m.self.doc, node: node}
}

// Required returns the value of key; a missing key is a finding, unless the mapping itself is absent.
func (m Mapping) Required(key string) Value {
	value := m.Optional(key)
	if m.Present() && !value.Present() {
		m.Report("missing_key", "key "+strconv.Quote(key)+" is missing", key)
	}
	return value
}
