// Package parser reads YAML strictly into typed values. Each fault becomes a finding with its place,
// and reading goes on after it, so that one pass reports all of them.
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

// The bounds of every document.
const (
	// MaxBytes is the size of the largest document.
	MaxBytes = 1 << 20
	// maxDepth is the deepest nesting of mappings and lists.
	maxDepth = 16
)

// document is what the values of one document share.
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

// Parse reads the one document in raw, adding its findings to findings; file names it there.
// It returns false when there is nothing to read on with, and then at least one finding was added.
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
	if err := doc.checkEnd(decoder); err != nil {
		return Value{}, false
	}
	if len(root.Content) == 0 || root.Content[0].ShortTag() == "!!null" {
		doc.report(start, "empty_document", "the document holds nothing", "a mapping")
		return Value{}, false
	}
	content := root.Content[0]
	if !doc.checkTree(content, 0) {
		return Value{}, false
	}
	return Value{doc: doc, node: content}, true
}

// checkEnd reports a second document.
func (d *document) checkEnd(decoder *yaml.Decoder) error {
	var second yaml.Node
	err := decoder.Decode(&second)
	if err == nil {
		d.report(&second, "several_documents", "a second document begins", "one document")
		return errors.New("several documents")
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	d.reportSyntax(err)
	return err
}

var syntaxLine = regexp.MustCompile(`^line (\d+): `)

func (d *document) reportSyntax(err error) {
	at := &yaml.Node{Line: 1, Column: 1}
	if errors.Is(err, io.EOF) {
		d.report(at, "empty_document", "the document holds nothing", "a mapping")
		return
	}
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	if found := syntaxLine.FindStringSubmatch(message); found != nil {
		at.Line, _ = strconv.Atoi(found[1])
		message = message[len(found[0]):]
	}
	d.report(at, "syntax", message, "YAML")
}

// checkTree reports anchors, aliases, tags and nesting that no document may have. It returns false when the tree is
// too deep to be read.
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
