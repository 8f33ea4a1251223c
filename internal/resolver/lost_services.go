package resolver

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// LostServices are the services to whose backend servers an instance has lost its path, and since when. The zero value has none.
// Equal ones compare as equal.
type LostServices struct {
	text string // a line for each service, sorted: its name, a space, and the Unix time in milliseconds
}

// LostService is one of LostServices.
type LostService struct {
	Service string
	Since   time.Time // by the clock of the instance, in milliseconds
}

// NewLostServices returns the LostServices of a list. Names with spaces or line breaks are left out.
func NewLostServices(list []LostService) LostServices {
	var lines []string
	for _, s := range list {
		if s.Service != "" && !strings.ContainsAny(s.Service, " \n") {
			lines = append(lines, s.Service+" "+strconv.FormatInt(s.Since.UnixMilli(), 10))
		}
	}
	slices.Sort(lines)
	return LostServices{text: strings.Join(lines, "\n")}
}

// All returns the services, sorted by name.
func (l LostServices) All() []LostService {
	if l.text == "" {
		return nil
	}
	var list []LostService
	for line := range strings.SplitSeq(l.text, "\n") {
		service, ms, _ := strings.Cut(line, " ")
		unix, _ := strconv.ParseInt(ms, 10, 64) // written by NewLostServices
		list = append(list, LostService{Service: service, Since: time.UnixMilli(unix)})
	}
	return list
}

// Names returns the names of the services, sorted.
func (l LostServices) Names() []string {
	var names []string
	for _, s := range l.All() {
		names = append(names, s.Service)
	}
	return names
}

// Contains reports whether a service is among them.
func (l LostServices) Contains(service string) bool {
	for rest := l.text; rest != ""; {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		if name, _, _ := strings.Cut(line, " "); name == service {
			return true
		}
	}
	return false
}
