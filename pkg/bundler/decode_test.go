package bundler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

func TestDecodeFindsOneFault(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     reporter.Code
	}{
		"version 0":              {old: "version: 1\n", new: "version: 0\n", want: "out_of_range"},
		"parent of version 1":    {old: "version: 1\n", new: "version: 1\nparent_version: 1\n", want: "parent_refused"},
		"no parent":              {old: "version: 1\n", new: "version: 2\n", want: "missing_key"},
		"parent skips":           {old: "version: 1\n", new: "version: 3\nparent_version: 1\nparent_digest: x\n", want: "wrong_parent"},
		"self sign-off":          {old: "approver: yusuf", new: "approver: salma", want: "self_sign_off"},
		"unknown approver":       {old: "approver: yusuf", new: "approver: hamed", want: "unknown_signer"},
		"doubled signer":         {old: "name: noor", new: "name: salma", want: "doubled_signer"},
		"key in hexadecimal":     {old: "public_key: 0znA/SFESdXbZGK7MP4cC3d4pC0d7iaewPezuNoAFdU=", new: "public_key: abcd", want: "wrong_form"},
		"doubled domain":         {old: "  - muscat_b\n", new: "  - muscat_a\n", want: "doubled_failure_domain"},
		"unknown domain":         {old: "failure_domain: muscat_b", new: "failure_domain: sohar", want: "unknown_failure_domain"},
		"doubled service":        {old: "name: template_shelf", new: "name: render_desk", want: "doubled_service"},
		"doubled server":         {old: "name: shelf_01", new: "name: render_01", want: "doubled_server"},
		"doubled address":        {old: "10.22.1.11:9000", new: "10.21.1.11:9000", want: "doubled_address"},
		"address in other words": {old: "10.22.1.11:9000", new: `"[::ffff:10.21.1.11]:9000"`, want: "doubled_address"},
		"host name":              {old: "10.22.1.11:9000", new: "shelf.example:9000", want: "wrong_form"},
		"doubled class":          {old: "name: render_order", new: "name: preview", want: "doubled_class"},
		"unreachable class":      {old: "path: /orders\n", new: "path: /preview\n          - method: GET\n            path: /preview\n", want: "unreachable_class"},
		"no partitions":          {old: "    partitions: 480\n", new: "", want: "missing_key"},
		"too many partitions":    {old: "partitions: 480", new: "partitions: 4097", want: "out_of_range"},
		"partitions unkeyed":     {old: "keyed: false", new: "keyed: false\n    partitions: 1", want: "not_keyed"},
		"deadline 0":             {old: "deadline: 800ms", new: "deadline: 0s", want: "out_of_range"},
		"priority":               {old: "priority: 5", new: "priority: 10", want: "out_of_range"},
		"retries of an order":    {old: "retries: 0", new: "retries: 1", want: "not_idempotent"},
		"hedged preview":         {old: "hedged: false", new: "hedged: true", want: "hedged_keyed"},
		"no slots":               {old: "      slots: 3\n", new: "", want: "missing_key"},
		"pattern":                {old: "path: /orders\n", new: "path: /**/orders\n", want: "wrong_form"},
		"default caller":         {old: `caller: "*"`, new: "caller: other", want: "missing_caller"},
		"doubled caller":         {old: "caller: ci_plugin", new: "caller: dashboard", want: "doubled_caller"},
		"heartbeat":              {old: "heartbeat: 100ms", new: "heartbeat: 167ms", want: "detection_too_short"},
		"grant":                  {old: "grant_ttl: 800ms", new: "grant_ttl: 1s", want: "grant_too_long"},
		"pledge":                 {old: "pledge: 1s", new: "pledge: 1001ms", want: "pledge_too_long"},
		"move":                   {old: "detection: 500ms", new: "detection: 792ms", want: "move_too_slow"},
		"retired twice":          {old: "retired_instances: []", new: "retired_instances: [a, a]", want: "doubled_instance"},
	}
	raw := string(readExample(t, "shashat", "bundle.yaml"))
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(raw, tc.old))
			_, err := Decode(name, []byte(strings.Replace(raw, tc.old, tc.new, 1)))
			if !reporter.HasCode(err, tc.want) {
				t.Errorf("no finding %s in:\n%v", tc.want, err)
			}
		})
	}
}

func TestTimingsAtTheirLimitsPass(t *testing.T) {
	raw := string(readExample(t, "shashat", "bundle.yaml"))
	raw = strings.Replace(raw, "detection: 500ms", "detection: 791ms", 1)
	_, err := Decode("limits", []byte(raw))
	is.New(t).NoErr(err)
}

func TestMoveFindingShowsTheSum(t *testing.T) {
	raw := string(readExample(t, "shashat", "bundle.yaml"))
	_, err := Decode("f", []byte(strings.Replace(raw, "detection: 500ms", "detection: 792ms", 1)))
	want := "detection 792ms + grant_ttl 800ms * (1 + clock_drift 0.01) + 4 * heartbeat 100ms = 2s >= move_target 2s"
	is.New(t).True(strings.Contains(err.Error(), want))
}

func TestDecodeBoundsHostileDocuments(t *testing.T) {
	classes := strings.Repeat("\n      - {name: a, match: [{method: GET, path: /a}]}", 15_000)
	tests := map[string]string{
		"50 MB":        strings.Repeat("name: x\n", 50<<20/8),
		"unknown keys": unknownKeys(60_000),
		"many classes": "services:\n  - name: a\n    classes:" + classes,
		"many domains": "failure_domains: [" + strings.Repeat("a,", 300_000) + "a]",
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bundle, err := Decode(name, []byte(raw))
			is.True(bundle == nil)
			is.True(reporter.IsErrFindings(err))
			is.True(len(err.Error()) < 4<<20)
		})
	}
}

func unknownKeys(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "key_%d: 1\n", i)
	}
	return b.String()
}

func TestLookupsAllocateNothing(t *testing.T) {
	is := is.New(t)
	bundle := openExample(t, "shashat")
	rest := "/preview/de/1"
	is.Equal(testing.AllocsPerRun(100, func() {
		service, _ := bundle.GetServiceByName("render_desk")
		server, _ := service.GetServerByName("render_07")
		class, _ := service.ClassFor("GET", rest)
		_, _, _ = bundle.GetServerByName(server.Name())
		_ = bundle.GetCallerLimitByName("nobody").Rate() + float64(class.Priority())
	}), 0.0)
}

func TestZeroValuesWork(t *testing.T) {
	is := is.New(t)
	is.Equal(Service{}.Partitions(), 0)
	is.Equal(Server{}.Slots(), 0)
	is.Equal(Class{}.Deadline(), time.Duration(0))
	_, ok := (&Bundle{}).GetServiceByName("render_desk")
	is.True(!ok)
	_, ok = Service{}.ClassFor("GET", "")
	is.True(!ok)
	is.Equal((&Bundle{}).GetCallerLimitByName("dashboard"), CallerLimit{})
}

func TestCallerLimitFallsBack(t *testing.T) {
	is := is.New(t)
	bundle := openExample(t, "shashat")
	is.Equal(bundle.GetCallerLimitByName("ci_plugin").Concurrent(), 20)
	is.Equal(bundle.GetCallerLimitByName("nobody").Caller(), defaultCaller)
}
