// Package docchecker checks the project's Markdown pages: inline links inside the repository are relative and resolve, and
// no page contains an absolute path that is specific to one machine. Its tests run it over the repository, and also compare
// the page of metrics and the example files with the code.
package docchecker

import (
	"bufio"
	"bytes"
	"fmt"
	"io/fs"
	"path"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

var (
	linkPattern    = regexp.MustCompile(`!?\[[^\]]*\]\(([^)\s]+)(?:\s+"[^"]*")?\)`)
	headingPattern = regexp.MustCompile(`^#{1,6}\s+(.*?)\s*#*$`)
	// machinePathPattern matches directories of a developer's machine, where a clone of the repository may lie.
	machinePathPattern = regexp.MustCompile(`(?:^|[\s"'(=` + "`" + `])/(?:work|root|tmp|home|Users)(?:/|\b)`)
	codeSpanPattern    = regexp.MustCompile("`[^`]*`")
)

// Defect is a broken link or a machine-specific path on a page. Line counts from 1.
type Defect struct {
	File string
	Line int
	Text string
}

// String returns the defect as file:line: text.
func (d Defect) String() string {
	return fmt.Sprintf("%s:%d: %s", d.File, d.Line, d.Text)
}

// Check returns the defects on all Markdown pages in tree. It skips directories whose name starts with a dot. The error
// reports that a directory or page can't be read.
func Check(tree fs.FS) ([]Defect, error) {
	pages, err := findPages(tree)
	if err != nil {
		return nil, err
	}
	var defects []Defect
	for _, page := range pages {
		found, err := checkPage(tree, page)
		if err != nil {
			return nil, err
		}
		defects = append(defects, found...)
	}
	return defects, nil
}

// findPages returns the names of all Markdown pages in tree.
func findPages(tree fs.FS) ([]string, error) {
	var pages []string
	err := fs.WalkDir(tree, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && name != "." && strings.HasPrefix(entry.Name(), ".") {
			return fs.SkipDir
		}
		if !entry.IsDir() && path.Ext(name) == ".md" {
			pages = append(pages, name)
		}
		return nil
	})
	return pages, errors.Wrap(err, "find pages")
}

// checkPage returns the defects on one page.
func checkPage(tree fs.FS, page string) ([]Defect, error) {
	lines, err := readLines(tree, page)
	if err != nil {
		return nil, err
	}
	var defects []Defect
	addDefect := func(lineNumber int, text string) {
		defects = append(defects, Defect{File: page, Line: lineNumber, Text: text})
	}
	for i, line := range lines {
		// Paths are checked in code blocks and code spans as well, links only outside of them.
		if found := machinePathPattern.FindString(line.text); found != "" {
			addDefect(i+1, "machine-specific path: "+strings.TrimSpace(found))
		}
		if line.inCodeBlock {
			continue
		}
		for _, match := range linkPattern.FindAllStringSubmatch(codeSpanPattern.ReplaceAllString(line.text, ""), -1) {
			if reason := checkLink(tree, page, match[1]); reason != "" {
				addDefect(i+1, match[1]+": "+reason)
			}
		}
	}
	return defects, nil
}

// pageLine is one line of a page.
type pageLine struct {
	text        string
	inCodeBlock bool // inside a code block between lines that begin with ```, or one of these lines
}

// readLines returns the lines of a page.
func readLines(tree fs.FS, page string) ([]pageLine, error) {
	data, err := fs.ReadFile(tree, page)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var lines []pageLine
	inFence := false
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, len(data)+1) // so that no line is too long
	for scanner.Scan() {
		isFence := strings.HasPrefix(strings.TrimSpace(scanner.Text()), "```")
		lines = append(lines, pageLine{text: scanner.Text(), inCodeBlock: inFence || isFence})
		if isFence {
			inFence = !inFence
		}
	}
	return lines, errors.WithStack(scanner.Err())
}

// checkLink returns what is wrong with a link on page, or "" if it is valid. Links to other sites aren't checked.
func checkLink(tree fs.FS, page, link string) string {
	if strings.Contains(link, "://") || strings.HasPrefix(link, "mailto:") {
		return ""
	}
	if strings.HasPrefix(link, "/") {
		return "link is not relative"
	}
	name, anchor, _ := strings.Cut(link, "#")
	target := page
	if name != "" {
		target = path.Join(path.Dir(page), name)
	}
	if _, err := fs.Stat(tree, target); err != nil {
		return "no such file"
	}
	if anchor == "" || path.Ext(target) != ".md" {
		return ""
	}
	return checkAnchor(tree, target, anchor)
}

// checkAnchor returns what is wrong with an anchor of the page target, or "" if one of its headings has that anchor.
func checkAnchor(tree fs.FS, target, anchor string) string {
	lines, err := readLines(tree, target)
	if err != nil {
		return err.Error()
	}
	for _, line := range lines {
		if match := headingPattern.FindStringSubmatch(line.text); match != nil && !line.inCodeBlock &&
			headingAnchor(match[1]) == anchor {
			return ""
		}
	}
	return "no such heading"
}

// headingAnchor returns the anchor that GitHub generates for the first heading with this text on a page. The numbered
// anchors of further headings with the same text are not supported. All characters beyond ASCII are kept, punctuation too.
func headingAnchor(heading string) string {
	var b strings.Builder
	for _, r := range strings.ToLower(heading) {
		switch {
		case r == ' ':
			b.WriteRune('-')
		case r == '-' || r == '_' || r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r > 127:
			b.WriteRune(r)
		}
	}
	return b.String()
}
