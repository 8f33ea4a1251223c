// Package docchecker checks the project's Markdown pages: links between them resolve, and no page names a path of one
// machine. Its test runs it over the repository.
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
	machinePath    = regexp.MustCompile(`(?:^|[\s"'(=` + "`" + `])/(?:work|root|tmp|home|Users)(?:/|\b)`)
	codeSpan       = regexp.MustCompile("`[^`]*`")
)

// Fault is something wrong on a page.
type Fault struct {
	File string
	Line int
	Text string
}

// String returns the fault as file:line: text.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Text)
}

// Check returns the faults of every Markdown page in tree. Directories whose name starts with a dot are left out.
func Check(tree fs.FS) ([]Fault, error) {
	pages, err := findPages(tree)
	if err != nil {
		return nil, err
	}
	var faults []Fault
	for _, page := range pages {
		found, err := checkPage(tree, page)
		if err != nil {
			return nil, err
		}
		faults = append(faults, found...)
	}
	return faults, nil
}

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

func checkPage(tree fs.FS, page string) ([]Fault, error) {
	lines, err := readLines(tree, page)
	if err != nil {
		return nil, err
	}
	var faults []Fault
	add := func(number int, text string) { faults = append(faults, Fault{File: page, Line: number, Text: text}) }
	for number, line := range lines {
		if found := machinePath.FindString(line.text); found != "" {
			add(number+1, "path of one machine: "+strings.TrimSpace(found))
		}
		if line.code {
			continue
		}
		for _, match := range linkPattern.FindAllStringSubmatch(codeSpan.ReplaceAllString(line.text, ""), -1) {
			if reason := checkLink(tree, page, match[1]); reason != "" {
				add(number+1, match[1]+": "+reason)
			}
		}
	}
	return faults, nil
}

// pageLine is one line of a page; code tells that it is inside a fenced block.
type pageLine struct {
	text string
	code bool
}

func readLines(tree fs.FS, page string) ([]pageLine, error) {
	data, err := fs.ReadFile(tree, page)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var lines []pageLine
	fenced := false
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, len(data)+1)
	for scanner.Scan() {
		fence := strings.HasPrefix(strings.TrimSpace(scanner.Text()), "```")
		lines = append(lines, pageLine{text: scanner.Text(), code: fenced || fence})
		if fence {
			fenced = !fenced
		}
	}
	return lines, errors.WithStack(scanner.Err())
}

// checkLink returns what is wrong with a link on page, or "". Links to other sites aren't followed.
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

func checkAnchor(tree fs.FS, target, anchor string) string {
	lines, err := readLines(tree, target)
	if err != nil {
		return err.Error()
	}
	for _, line := range lines {
		if match := headingPattern.FindStringSubmatch(line.text); match != nil && !line.code && anchorOf(match[1]) == anchor {
			return ""
		}
	}
	return "no such heading"
}

// anchorOf returns the anchor that common Markdown renderers give to a heading.
func anchorOf(heading string) string {
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
