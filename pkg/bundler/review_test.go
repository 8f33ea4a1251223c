package bundler

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// warningsAt returns line, code pairs of the warnings, in the order of the file.
func warningsAt(t *testing.T, warnings []reporter.Finding) (lines []int, codes []reporter.Code) {
	t.Helper()
	var findings reporter.Findings
	for _, w := range warnings {
		findings.Add(w)
	}
	for _, w := range findings.List() {
		is.New(t).Equal(w.Severity(), reporter.SeverityWarning)
		is.New(t).True(w.Place().Column() > 0)
		lines, codes = append(lines, w.Place().Line()), append(codes, w.Code())
	}
	return lines, codes
}

// TestReviewOfExampleFindsEveryWarningAtItsLine guards against a warning without a place, or at the place of another value. The
// comments of the example name the code for the line below them.
func TestReviewOfExampleFindsEveryWarningAtItsLine(t *testing.T) {
	is := is.New(t)
	raw := readExample(t, "broken", "warnings.yaml")
	bundle, err := Decode("warnings.yaml", raw)
	is.NoErr(err)
	var wantLines []int
	var wantCodes []reporter.Code
	for i, line := range strings.Split(string(raw), "\n") {
		if comment, found := strings.CutPrefix(strings.TrimSpace(line), "# "); found && i > 0 {
			wantLines = append(wantLines, i+2)
			wantCodes = append(wantCodes, reporter.Code(strings.FieldsFunc(comment, func(r rune) bool { return r == ':' || r == ',' })[0]))
		}
	}
	is.Equal(len(wantCodes), 9)
	lines, codes := warningsAt(t, Review(bundle, ReviewSettings{RequestBytes: 50 << 20}))
	is.Equal(lines, wantLines)
	is.Equal(codes, wantCodes)
}

// TestReviewOfEditedExample guards against warnings about bundles that do what is meant, at the bounds of each rule.
func TestReviewOfEditedExample(t *testing.T) {
	const shelf = "name: template_shelf\n    keyed: false\n"
	tests := map[string]struct {
		edits    []string // pairs of old and new text
		settings ReviewSettings
		want     []reporter.Code
	}{
		"as it is":                        {},
		"at most once, one attempt":       {edits: []string{"attempts: 2", "attempts: 1"}},
		"at most once, two attempts":      {edits: []string{"attempts: 1\n", "attempts: 2\n"}, want: []reporter.Code{"unused_attempts"}},
		"timeout as long as cold keys":    {edits: []string{"cold_keys: 2s", "cold_keys: 2000ms"}},
		"timeouts shorter than cold keys": {edits: []string{"cold_keys: 2s", "cold_keys: 3s"}, want: []reporter.Code{"timeout_below_cold_keys", "timeout_below_cold_keys"}},
		"one request in the timeout":      {edits: []string{shelf, shelf + "    warmup: 8s\n    warmup_rate: 0.25\n"}},
		"less than one in the timeout":    {edits: []string{shelf, shelf + "    warmup: 8s\n    warmup_rate: 0.24\n"}, want: []reporter.Code{"timeout_below_warmup"}},
		"warm before the timeout":         {edits: []string{shelf, shelf + "    warmup: 4s\n    warmup_rate: 0.24\n"}},
		"warm-up without a rate":          {edits: []string{shelf, shelf + "    warmup: 8s\n"}},
		"urgent route behind":             {edits: []string{"priority: 0\n    # The longest", "priority: 1\n    # The longest"}, want: []reporter.Code{"inverted_priority"}},
		"patient route behind":            {edits: []string{"priority: 0\n    timeout: 2500ms", "priority: 1\n    timeout: 2500ms"}},
		"same objective behind": {edits: []string{
			"priority: 0\n    # The longest", "priority: 1\n    # The longest", "objective: 300ms", "objective: 400ms",
		}},
		"route moved to another service": {
			edits: []string{"- service: template_shelf", "- service: render_desk"},
			want:  []reporter.Code{"unused_service"},
		},
		"longer prefix of a host":      {edits: []string{"prefix: /orders/", "prefix: /previews/orders/"}},
		"dots in a segment":            {edits: []string{"prefix: /orders/", "prefix: /..orders/"}},
		"dot segment":                  {edits: []string{"prefix: /orders/", "prefix: /./orders/"}, want: []reporter.Code{"dot_segment"}},
		"bodies and header just fit":   {settings: ReviewSettings{RequestBytes: 8<<20 + 32<<10}},
		"a byte too little":            {settings: ReviewSettings{RequestBytes: 8<<20 + 32<<10 - 1}, want: []reporter.Code{"body_exceeds_memory"}},
		"less memory than for headers": {settings: ReviewSettings{RequestBytes: 1}, want: []reporter.Code{"body_exceeds_memory"}},
	}
	raw := string(readExample(t, "shashat", "bundle.yaml"))
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := 0; i < len(tc.edits); i += 2 {
				is.True(strings.Contains(raw, tc.edits[i]))
			}
			bundle, err := Decode(name, []byte(strings.NewReplacer(tc.edits...).Replace(raw)))
			is.NoErr(err)
			_, codes := warningsAt(t, Review(bundle, tc.settings))
			is.Equal(codes, tc.want)
		})
	}
}

// TestReviewOfRoutesWithoutPlaces guards against a panic for bundles from New, which have no places, and against warnings about
// routes that don't meet at a service, or more than one about a route that meets another at several. It covers equal prefixes, which
// Decode rejects.
func TestReviewOfRoutesWithoutPlaces(t *testing.T) {
	route := func(name, prefix string, priority int, objective time.Duration) Route {
		return Route{
			Name: name, Host: "a", Prefix: prefix, Idempotent: true, Priority: priority, Objective: objective, Timeout: time.Minute,
			Services: []WeightedService{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}},
		}
	}
	otherHost := route("b", "/", 0, 1)
	otherHost.Host = "b"
	// Only its requests to t are part of the traffic; s has cold keys for longer than its timeout.
	onlyT := route("a", "/a/", 0, 9)
	onlyT.Services = []WeightedService{{Service: "s"}, {Service: "t", Weight: 1}}
	onlyT.Timeout = time.Second
	onlyS := route("b", "/b/", 1, 3)
	onlyS.Services = onlyS.Services[:1]
	tests := map[string]struct {
		routes []Route
		want   []string // codes, and the first two words of the messages
	}{
		"same prefix":                {routes: []Route{route("a", "/", 0, 1), route("b", "/", 0, 1)}, want: []string{"shadowed_route: route b"}},
		"same prefix of other hosts": {routes: []Route{route("a", "/", 0, 1), otherHost}},
		"longer prefix":              {routes: []Route{route("a", "/", 0, 1), route("b", "/b/", 0, 1)}},
		"behind two, one is patient": {
			routes: []Route{route("a", "/a/", 0, 1), route("b", "/b/", 1, 9), route("c", "/c/", 2, 3)},
			want:   []string{"inverted_priority: route c"},
		},
		"behind one that is not the next": {
			routes: []Route{route("c", "/c/", 2, 5), route("b", "/b/", 1, 4), route("a", "/a/", 0, 9)},
			want:   []string{"inverted_priority: route b", "inverted_priority: route c"},
		},
		"patient with equal priority":        {routes: []Route{route("a", "/a/", 1, 9), route("b", "/b/", 1, 3)}},
		"no requests to the service of both": {routes: []Route{onlyT, onlyS}, want: []string{"zero_weight: service s"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			services := []Service{{Name: "s", Keyed: true, KeyWarmup: time.Minute}, {Name: "t"}}
			var got []string
			for _, w := range Review(New(1, services, tc.routes, Limits{}), ReviewSettings{}) {
				got = append(got, string(w.Code())+": "+strings.Join(strings.Fields(w.Message())[:2], " "))
			}
			slices.Sort(got)
			is.Equal(got, tc.want)
		})
	}
}
