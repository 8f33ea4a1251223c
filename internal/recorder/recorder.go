// Package recorder keeps the newest lines of an instance's log that are not about single requests, and merges those of
// several instances into one timeline.
package recorder

import (
	"regexp"
	"strings"
	"sync"
	"time"
)

// capacity is how many lines a Ring keeps; they are about 200 bytes each.
const capacity = 1024

// maxLineBytes bounds one line; the rest of a longer one is dropped.
const maxLineBytes = 1024

// requestMark is in every line about a single request.
const requestMark = `] "request" `

// Event is one line of a log.
type Event struct {
	// Time is the wall time of the instance, in UTC.
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	// Source is the place in the code that wrote the line.
	Source string `json:"source"`
	// Message is what happened; Fields are its inputs and outcome, as they stand in the log.
	Message string `json:"message"`
	Fields  string `json:"fields"`
}

// Page is what one instance remembers.
type Page struct {
	Instance string `json:"instance"`
	// Overwritten counts the lines that fell out of the ring.
	Overwritten uint64  `json:"overwritten"`
	Events      []Event `json:"events"`
}

// Ring keeps the newest lines. The zero Ring is empty; it is safe for concurrent use.
type Ring struct {
	mu          sync.Mutex
	lines       []string
	oldest      int
	overwritten uint64
}

// Add keeps a line of the log, unless it is about a single request.
func (r *Ring) Add(line []byte) {
	text := string(line[:min(len(line), maxLineBytes)])
	if strings.Contains(text, requestMark) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) < capacity {
		r.lines = append(r.lines, text)
		return
	}
	r.lines[r.oldest] = text
	r.oldest = (r.oldest + 1) % capacity
	r.overwritten++
}

// Page returns the lines as events of an instance. now tells their year, which the lines lack.
func (r *Ring) Page(now time.Time, instance string) Page {
	r.mu.Lock()
	lines := append(append([]string(nil), r.lines[r.oldest:]...), r.lines[:r.oldest]...)
	page := Page{Instance: instance, Overwritten: r.overwritten, Events: []Event{}}
	r.mu.Unlock()
	for _, line := range lines {
		if e, ok := parse(now, line); ok {
			e.Instance = instance
			page.Events = append(page.Events, e)
		}
	}
	return page
}

// linePattern is a line of klog: month and day, time, process, source, then a message in quotes and its fields.
var linePattern = regexp.MustCompile(`^[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ ([^ \]]+)\] "((?:[^"\\]|\\.)*)" ?(.*)`)

// lineTime is how klog writes a time.
const lineTime = "0102 15:04:05.000000"

// parse returns the event of a line; ok is false where the line is none of klog's.
func parse(now time.Time, line string) (e Event, ok bool) {
	parts := linePattern.FindStringSubmatch(line)
	if parts == nil {
		return Event{}, false
	}
	at, err := time.ParseInLocation(lineTime, parts[1], now.Location())
	if err != nil {
		return Event{}, false
	}
	at = at.AddDate(now.Year(), 0, 0)
	if at.After(now.AddDate(0, 0, 1)) {
		at = at.AddDate(-1, 0, 0) // written before the turn of the year
	}
	return Event{Time: at.UTC(), Source: parts[2], Message: parts[3], Fields: strings.TrimSpace(parts[4])}, true
}
