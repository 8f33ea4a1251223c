package bundler

import (
	"testing"

	"github.com/matryer/is"
)

func TestMatch(t *testing.T) {
	tests := map[string]struct {
		pattern string
		yes, no []string
	}{
		"root":        {pattern: "/", yes: []string{"", "/"}, no: []string{"a", "/a"}},
		"literal":     {pattern: "/orders", yes: []string{"/orders", "orders"}, no: []string{"", "/orders/1", "/order", "/ordersx"}},
		"one segment": {pattern: "/orders/*", yes: []string{"/orders/1"}, no: []string{"/orders", "/orders/1/2"}},
		"any rest":    {pattern: "/a/**", yes: []string{"/a", "/a/", "/a/b/c"}, no: []string{"", "/b/a"}},
		"everything":  {pattern: "/**", yes: []string{"", "/", "/a/b"}},
		"middle":      {pattern: "/a/*/c", yes: []string{"/a/b/c"}, no: []string{"/a/b", "/a/b/d", "/a/b/c/d"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(pathPattern.MatchString(tc.pattern))
			m := newMatch("GET", tc.pattern)
			for _, rest := range tc.yes {
				is.True(m.matches("GET", rest))
				is.True(!m.matches("POST", rest))
			}
			for _, rest := range tc.no {
				is.True(!m.matches("GET", rest))
			}
		})
	}
}

func TestCovers(t *testing.T) {
	tests := map[string]struct {
		first, second match
		want          bool
	}{
		"same":             {first: newMatch("GET", "/a"), second: newMatch("GET", "/a"), want: true},
		"everything":       {first: newMatch("*", "/**"), second: newMatch("PUT", "/a/*"), want: true},
		"prefix":           {first: newMatch("GET", "/a/**"), second: newMatch("GET", "/a"), want: true},
		"one segment":      {first: newMatch("GET", "/*"), second: newMatch("GET", "/a"), want: true},
		"other method":     {first: newMatch("GET", "/**"), second: newMatch("PUT", "/a")},
		"any method after": {first: newMatch("GET", "/a"), second: newMatch("*", "/a")},
		"narrow first":     {first: newMatch("GET", "/a/*"), second: newMatch("GET", "/a/**")},
		"longer":           {first: newMatch("GET", "/a"), second: newMatch("GET", "/a/b")},
		"shorter":          {first: newMatch("GET", "/a/b"), second: newMatch("GET", "/a")},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.first.covers(tc.second), tc.want)
		})
	}
}
