package resolver

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLostServices(t *testing.T) {
	is := is.New(t)
	since := time.UnixMilli(1_700_000_000_123)
	a := NewLostServices([]LostService{{Service: "vault", Since: since}, {Service: "desk", Since: since.Add(time.Second)}})
	b := NewLostServices([]LostService{{Service: "desk", Since: since.Add(time.Second)}, {Service: "vault", Since: since}})
	is.Equal(a, b)
	is.Equal(a.Names(), []string{"desk", "vault"})
	is.Equal(a.All()[1].Since, since)
	is.True(a.Contains("desk"))
	is.True(!a.Contains("des"))
	is.Equal(NewLostServices(nil), LostServices{})
	is.Equal(len(LostServices{}.All()), 0)
	is.Equal(NewLostServices([]LostService{{Service: "a b"}, {Service: "a\nb"}, {}}), LostServices{})
}

// TestInstancesThatLostServiceDispatchLast guards against dispatchers without a path while other instances have one.
func TestInstancesThatLostServiceDispatchLast(t *testing.T) {
	lost := NewLostServices([]LostService{{Service: "s", Since: time.Unix(1, 0)}})
	tests := map[string]struct {
		members []Member // the first is the view's own instance
		want    string
	}{
		"others in the domain": {members: []Member{{Instance: "m0", Domain: "a", Lost: lost}, {Instance: "m1", Domain: "a"}}, want: "m1"},
		"other domain":         {members: []Member{{Instance: "m0", Domain: "a", Lost: lost}, {Instance: "m1", Domain: "b"}}, want: "m1"},
		"itself":               {members: []Member{{Instance: "m0", Domain: "b"}, {Instance: "m1", Domain: "a", Lost: lost}}, want: "m0"},
		"all lost it":          {members: []Member{{Instance: "m0", Domain: "b", Lost: lost}, {Instance: "m1", Domain: "a", Lost: lost}}, want: "m1"},
		"lost another service": {members: []Member{{Instance: "m0", Domain: "b"}, {Instance: "m1", Domain: "a", Lost: NewLostServices([]LostService{{Service: "other"}})}}, want: "m1"},
		"others are leaving":   {members: []Member{{Instance: "m0", Domain: "a", Lost: lost}, {Instance: "m1", Domain: "a", Leaving: true}}, want: "m0"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := New(tc.members[0], nil, nil, nil, tc.members[1:])
			is.Equal(v.Dispatcher(ServerPool{Service: "s", Server: "x", Domain: "a"}, avoidNone).Instance, tc.want)
		})
	}
}
