package bundler

import (
	"regexp"
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

// The bounds of classes.
const (
	maxClasses     = 32
	maxMatches     = 32
	maxPriority    = 9
	maxRetries     = 5
	minDeadline    = time.Millisecond
	maxDeadline    = 10 * time.Minute
	maxRetryBudget = 1
	maxBodyBytes   = 1 << 30
)

// The forms of a match.
var (
	methodName  = regexp.MustCompile(`^(\*|[A-Z]{1,32})$`)
	pathPattern = regexp.MustCompile(`^/([^/*\s?#]+/|\*/)*([^/*\s?#]+|\*\*?)?$`)
)

// The descriptions of those forms in findings.
const (
	methodForm = "a method in capitals, or *"
	pathForm   = "a path from / on; a segment * is any one, a last segment ** any number"
)

func readClasses(list parser.Value, keyed bool) []Class {
	var classes []Class
	names := unique[identifier.ClassName]{code: "doubled_class"}
	for _, item := range list.Items(1, maxClasses) {
		class, name := readClass(item, keyed)
		names.add(name, class.Name())
		checkReachable(item, classes, class)
		classes = append(classes, class)
	}
	return classes
}

func readClass(item parser.Value, keyed bool) (Class, parser.Value) {
	m := item.Mapping("name", "match", "idempotent", "priority", "deadline", "may_wait", "retries", "retry_budget",
		"hedged", "body_bytes")
	name := m.Required("name")
	data := &classData{
		name:       identifier.ClassName(name.Match(snakeName, snakeNameForm)),
		patterns:   readMatches(m.Required("match")),
		idempotent: m.Required("idempotent").Bool(),
		priority:   int(m.Required("priority").Int(0, maxPriority)),
		deadline:   m.Required("deadline").Duration(minDeadline, maxDeadline),
		mayWait:    m.Optional("may_wait").Bool(),
		bodyBytes:  m.Required("body_bytes").Bytes(0, maxBodyBytes),
	}
	data.readRepeats(m, keyed)
	return Class{data: data}, name
}

// readRepeats reads what may be sent more than once, which only idempotent classes allow.
func (c *classData) readRepeats(m parser.Mapping, keyed bool) {
	retries, budget, hedged := m.Optional("retries"), m.Optional("retry_budget"), m.Optional("hedged")
	c.retries = int(retries.Int(0, maxRetries))
	c.retryBudget = budget.Float(0, maxRetryBudget)
	c.hedged = hedged.Bool()
	if m.Optional("idempotent").Present() && !c.idempotent {
		if c.retries > 0 {
			retries.Report("not_idempotent", "retries in a class that is at most once", "0")
		}
		if c.hedged {
			hedged.Report("not_idempotent", "hedged in a class that is at most once", "false")
		}
	}
	if c.hedged && keyed {
		hedged.Report("hedged_keyed", "hedged in a keyed service, where one server alone owns the key", "false")
	}
	if c.idempotent && c.retries > 0 {
		m.Required("retry_budget")
	}
}

func readMatches(list parser.Value) []match {
	var matches []match
	for _, item := range list.Items(1, maxMatches) {
		m := item.Mapping("method", "path")
		method := m.Required("method").Match(methodName, methodForm)
		path := m.Required("path").Match(pathPattern, pathForm)
		if method != "" && path != "" {
			matches = append(matches, newMatch(method, path))
		}
	}
	return matches
}

// checkReachable reports a match of class that an earlier class takes first.
func checkReachable(item parser.Value, earlier []Class, class Class) {
	for _, pattern := range class.data.patterns {
		for _, before := range earlier {
			if before.data.covers(pattern) {
				item.Report("unreachable_class", "class "+strconv.Quote(string(before.Name()))+" takes these requests first",
					"each method and path in one class, general ones last")
				return
			}
		}
	}
}

func (c *classData) covers(pattern match) bool {
	for _, mine := range c.patterns {
		if mine.covers(pattern) {
			return true
		}
	}
	return false
}
