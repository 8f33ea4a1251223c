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
