package matcher

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/bundler"
)

// TestLongestPrefixWins guards against requests that take the route of another host or of a shorter prefix. It also checks
// what else a Table contains of its bundle.
func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(bundler.New(7, []bundler.Service{
		{Name: "b", Keyed: true}, {Name: "a", Keyed: true}, {Name: "c"},
	}, []bundler.Route{
		{Name: "short", Host: "one.example", Prefix: "/a/"},
		{Name: "long", Host: "one.example", Prefix: "/a/b/"},
		{Name: "other", Host: "two.example", Prefix: "/"},
	}, bundler.Limits{}))
	tests := map[string]struct{ host, path, want string }{
		"shorter prefix":               {host: "one.example", path: "/a/x", want: "short"},
		"longer prefix":                {host: "one.example", path: "/a/b/x", want: "long"},
		"prefix ends inside a segment": {host: "one.example", path: "/ab", want: ""},
		"no final slash":               {host: "one.example", path: "/a", want: ""},
		"host with port":               {host: "one.example:80", path: "/a/x", want: "short"},
		"host in capitals":             {host: "ONE.example", path: "/a/x", want: "short"},
		"root prefix":                  {host: "two.example", path: "/whatever", want: "other"},
		"unknown host":                 {host: "three.example", path: "/a/x", want: ""},
		"empty path":                   {host: "one.example", path: "", want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, ok := table.Route(test.host, test.path)
			is.Equal(ok, test.want != "")
			if ok {
				is.Equal(r.Name, test.want)
			}
		})
	}
	is := is.New(t)
	is.Equal(table.KeyedServices(), []string{"a", "b"})
	is.Equal(table.Version(), uint64(7))
	is.Equal((*Table)(nil).Version(), uint64(0))
}

// TestSplitterFollowsWeights guards against requests in a row that all go to one service, and against requests to a service
// of weight 0.
func TestSplitterFollowsWeights(t *testing.T) {
	is := is.New(t)
	var s Splitter
	r := &bundler.Route{Name: "r", Services: []bundler.WeightedService{
		{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0},
	}}
	counts := map[string]int{}
	for i := range 200 {
		counts[s.Pick(r)]++
		if i%10 == 9 {
			is.Equal(counts["b"], (i+1)/10) // one in every ten requests
		}
	}
	is.Equal(counts["a"], 180)
	is.Equal(counts["none"], 0)
	is.Equal(s.Pick(&bundler.Route{Name: "one", Services: []bundler.WeightedService{{Service: "c"}}}), "c")
}
