// Package parser reads YAML strictly into typed values. An error becomes a finding with its place and doesn't stop the
// reading, so that one pass reports all errors.
package parser

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// Limits of a document.
const (
	// MaxBytes is the maximum size of a document.
	MaxBytes = 1 << 20
	// maxDepth is the maximum nesting depth of mappings and lists.
	maxDepth = 16
)

// document is the context that all values of one document share: the file name and the collected findings.
type document struct {
	file     string
	findings *reporter.Findings
}

func (d *document) place(node *yaml.Node) reporter.Place {
	return reporter.NewPlace(d.file, node.Line, node.Column)
}

func (d *document) report(node *yaml.Node, code reporter.Code, message, expected string) {
	d.findings.Add(reporter.NewFinding(d.place(node), code, message, expected))
}

// Parse parses raw, which must hold exactly one document, and returns its root value. Errors are added to findings under
// the file name file. Parse returns false if the root value can't be read, and has added at least one finding then.
func Parse(file string, raw []byte, findings *reporter.Findings) (Value, bool) {
	doc := &document{file: file, findings: findings}
	start := &yaml.Node{Line: 1, Column: 1}
	if len(raw) > MaxBytes {
		doc.report(start, "too_large", "the document is too large", "at most "+strconv.Itoa(MaxBytes)+" bytes")
		return Value{}, false
	}
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	var root yaml.Node
	if err := decoder.Decode(&root); err != nil {
		doc.reportSyntax(err)
		return Value{}, false
	}
	if err := doc.checkSingleDocument(decoder); err != nil {
		return Value{}, false
	}
	if len(root.Content) == 0 || root.Content[0].ShortTag() == "!!null" {
		doc.report(start, "empty_document", "the document is empty", "a mapping")
		return Value{}, false
	}
	content := root.Content[0]
	if !doc.checkTree(content, 0) {
		return Value{}, false
	}
	return Value{doc: doc, node: content}, true
}

// checkSingleDocument checks that no second document follows. If one does, or can't be parsed, it adds a finding and
// returns an error, which only says that there is one.
func (d *document) checkSingleDocument(decoder *yaml.Decoder) error {
	var second yaml.Node
	err := decoder.Decode(&second)
	if err == nil {
		d.report(&second, "several_documents", "found a second document", "one document")
		return errors.New("several documents")
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	d.reportSyntax(err)
	return err
}

// syntaxErrorLine matches the line number at the start of an error message of the YAML decoder.
var syntaxErrorLine = regexp.MustCompile(`^line (\d+): `)

// reportSyntax adds a finding for an error of the YAML decoder, at the line that its message names.
func (d *document) reportSyntax(err error) {
	node := &yaml.Node{Line: 1, Column: 1}
	if errors.Is(err, io.EOF) {
		d.report(node, "empty_document", "the document is empty", "a mapping")
		return
	}
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	if match := syntaxErrorLine.FindStringSubmatch(message); match != nil {
		node.Line, _ = strconv.Atoi(match[1])
		message = message[len(match[0]):]
	}
	d.report(node, "syntax", message, "valid YAML")
}

// checkTree reports all anchors, aliases and explicit tags, which are not allowed, and nesting deeper than maxDepth. It
// returns false if the nesting is too deep; the other findings don't prevent reading the values.
func (d *document) checkTree(node *yaml.Node, depth int) bool {
	if depth > maxDepth {
		d.report(node, "too_deep", "nested too deeply", "at most "+strconv.Itoa(maxDepth)+" levels")
		return false
	}
	if node.Kind == yaml.AliasNode {
		d.report(node, "alias_refused", "an alias of "+strconv.Quote(node.Value), "the value written out")
		return true
	}
	if node.Anchor != "" {
		d.report(node, "anchor_refused", "an anchor "+strconv.Quote(node.Anchor), "no anchor")
	}
	if node.Style&yaml.TaggedStyle != 0 {
		d.report(node, "tag_refused", "a tag "+strconv.Quote(node.Tag), "no tag")
	}
	readable := true
	for _, child := range node.Content {
		readable = d.checkTree(child, depth+1) && readable
	}
	return readable
}
