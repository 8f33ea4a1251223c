// Package recorder keeps the most recent lines of an instance's log, except those about individual requests, and merges the
// lines of several instances into one timeline of events.
package recorder

import (
	"regexp"
	"strings"
	"sync"
	"time"
)

// ringCapacity is the number of lines that a Ring keeps; a line has about 200 bytes.
const ringCapacity = 1024

// maxLineBytes is the maximum length of a line in a Ring; longer lines are truncated.
const maxLineBytes = 1024

// requestMarker is the part of a log line that tells lines about individual requests from others: the end of klog's prefix
// and the message "request", with which package forwarder logs each answer to a client.
const requestMarker = `] "request" `

// Event is a parsed log line.
type Event struct {
	// Time is the time of the event by the instance's wall clock, in UTC.
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	// Source is the source file and line that logged the event.
	Source string `json:"source"`
	// Message is the log message, Fields its key=value pairs, both verbatim as in the log.
	Message string `json:"message"`
	Fields  string `json:"fields"`
}

// InstanceEvents holds the recorded events of one instance.
type InstanceEvents struct {
	Instance string `json:"instance"`
	// Overwritten counts the lines that were overwritten by newer ones.
	Overwritten uint64 `json:"overwritten"`
	// Events are in the order in which they were logged.
	Events []Event `json:"events"`
}

// Ring is a ring buffer of the most recent log lines. The zero Ring is empty and ready to use. A Ring is safe for concurrent
// use.
type Ring struct {
	mu          sync.Mutex
	lines       []string
	oldest      int // index of the oldest line
	overwritten uint64
}

// Add adds a line of the log, unless it is about an individual request. If the ring is full, the line replaces the oldest.
func (r *Ring) Add(line []byte) {
	text := string(line[:min(len(line), maxLineBytes)])
	if strings.Contains(text, requestMarker) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) < ringCapacity {
		r.lines = append(r.lines, text)
		return
	}
	r.lines[r.oldest] = text
	r.oldest = (r.oldest + 1) % ringCapacity
	r.overwritten++
}

// InstanceEvents returns the lines as events of instance, without those that can't be parsed. Log lines have no year, so
// the year is derived from now, and the time zone of the lines is that of now.
func (r *Ring) InstanceEvents(now time.Time, instance string) InstanceEvents {
	r.mu.Lock()
	lines := append(append([]string(nil), r.lines[r.oldest:]...), r.lines[:r.oldest]...)
	events := InstanceEvents{Instance: instance, Overwritten: r.overwritten, Events: []Event{}}
	r.mu.Unlock()
	for _, line := range lines {
		if e, ok := parseLine(now, line); ok {
			e.Instance = instance
			events.Events = append(events.Events, e)
		}
	}
	return events
}

// linePattern matches a structured log line of klog: severity, month and day, time, process id, source file and line, then
// the quoted message and its fields.
var linePattern = regexp.MustCompile(`^[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ ([^ \]]+)\] "((?:[^"\\]|\\.)*)" ?(.*)`)

// klogTimeFormat is the time format of klog.
const klogTimeFormat = "0102 15:04:05.000000"

// parseLine returns the event of a log line, without its instance. ok is false if line is not a structured log line of klog.
func parseLine(now time.Time, line string) (e Event, ok bool) {
	parts := linePattern.FindStringSubmatch(line)
	if parts == nil {
		return Event{}, false
	}
	at, err := time.ParseInLocation(klogTimeFormat, parts[1], now.Location())
	if err != nil {
		return Event{}, false
	}
	at = at.AddDate(now.Year(), 0, 0)
	if at.After(now.AddDate(0, 0, 1)) {
		at = at.AddDate(-1, 0, 0) // logged in the previous year; up to a day after now, the clock may have been set back
	}
	return Event{Time: at.UTC(), Source: parts[2], Message: parts[3], Fields: strings.TrimSpace(parts[4])}, true
}
