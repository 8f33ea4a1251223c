package surveyor

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestFit(t *testing.T) {
	tests := map[string]struct {
		points    []Point
		intercept float64
		slope     float64
		exponent  float64
		err       float64
	}{
		"line":        {points: []Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}}, intercept: 3, slope: 2, exponent: 0.65, err: 0},
		"constant":    {points: []Point{{1, 4}, {2, 4}, {3, 4}, {4, 4}}, intercept: 4, slope: 0, exponent: 0, err: 0},
		"through 0":   {points: []Point{{10, 30}, {20, 60}, {40, 120}, {80, 240}}, intercept: 0, slope: 3, exponent: 1, err: 0},
		"square":      {points: []Point{{1, 1}, {2, 4}, {3, 9}, {4, 16}}, intercept: -2.867557715674362, slope: 3.8355609558525723, exponent: 2, err: 0.22033211826650456},
		"one outlier": {points: []Point{{1, 10}, {2, 10}, {3, 20}, {4, 20}}, intercept: 5.168539325842696, slope: 3.5955056179775284, exponent: 0.6, err: 0.23595505617977536},
		"not a power": {points: []Point{{1, 0}, {2, 2}, {3, 4}, {4, 6}}, intercept: -2, slope: 2, exponent: 0, err: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := fit("name", "unit", "per", "held", tt.points)
			is.True(near(s.Intercept, tt.intercept, 1e-9))
			is.True(near(s.PerUnit, tt.slope, 1e-9))
			is.True(near(s.LargestRelativeError, tt.err, 1e-9))
			is.True(near(s.Exponent, tt.exponent, 0.05))
		})
	}
}

func near(a, b, within float64) bool { return math.Abs(a-b) <= within }

func TestFigure(t *testing.T) {
	tests := map[string]struct {
		value float64
		want  string
	}{
		"small":     {value: 0.05918, want: "0.0592"},
		"tiny":      {value: 8.05e-6, want: "8.05e-06"},
		"whole":     {value: 450, want: "450"},
		"rounds up": {value: 999.6, want: "1,000"},
		"thousands": {value: 12345, want: "12,300"},
		"millions":  {value: 1_012_000, want: "1,010,000"},
		"negative":  {value: -43_800, want: "-43,800"},
		"none":      {value: 0, want: "0"},
		"rounding":  {value: -7.8e-36, want: "0"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Figure(tt.value), tt.want)
		})
	}
}
