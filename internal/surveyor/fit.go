package surveyor

import "math"

// Point is one measurement: Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a line through measurements by least squares of the relative distances: Y = Intercept + PerUnit * X.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of Y, Per what X counts, and Fixed what was held.
	Unit      string  `json:"unit"`
	Per       string  `json:"per"`
	Fixed     string  `json:"fixed"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"slope"`
	// LargestRelativeError is the largest distance of a measurement from the line, over the measurement.
	LargestRelativeError float64 `json:"largest_relative_error"`
	// Exponent is the power of the size with which the measurements grow, from the line through their logarithms: near 1
	// they grow as the line does, near 2 as the square. It is 0 where a measurement is not positive.
	Exponent float64 `json:"exponent"`
	Points   []Point `json:"points"`
}

// At returns the line's value at size x.
func (s Slope) At(x float64) float64 { return s.Intercept + s.PerUnit*x }

func fit(name, unit, per, fixed string, points []Point) Slope {
	s := Slope{Name: name, Unit: unit, Per: per, Fixed: fixed, Points: points}
	s.Intercept, s.PerUnit = leastSquares(points)
	s.Exponent = exponent(points)
	for _, p := range points {
		if p.Y != 0 {
			s.LargestRelativeError = max(s.LargestRelativeError, math.Abs(s.At(p.X)-p.Y)/math.Abs(p.Y))
		}
	}
	return s
}

// leastSquares returns the line with the least sum of squared relative distances, so that small sizes count as much as
// large ones; where a measurement is 0, of squared distances. It needs two different sizes.
func leastSquares(points []Point) (intercept, slope float64) {
	return fitLine(points, weightsOf(points))
}

func fitLine(points []Point, weights []float64) (intercept, slope float64) {
	var sum, meanX, meanY float64
	for i, p := range points {
		sum += weights[i]
		meanX += weights[i] * p.X
		meanY += weights[i] * p.Y
	}
	meanX /= sum
	meanY /= sum
	var xx, xy float64
	for i, p := range points {
		xx += weights[i] * (p.X - meanX) * (p.X - meanX)
		xy += weights[i] * (p.X - meanX) * (p.Y - meanY)
	}
	if xx == 0 {
		return meanY, 0
	}
	slope = xy / xx
	return meanY - slope*meanX, slope
}

func weightsOf(points []Point) []float64 {
	weights := make([]float64, len(points))
	for i, p := range points {
		if p.Y == 0 {
			return evenWeights(len(points))
		}
		weights[i] = 1 / (p.Y * p.Y)
	}
	return weights
}

func evenWeights(n int) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = 1
	}
	return weights
}

func exponent(points []Point) float64 {
	logs := make([]Point, 0, len(points))
	for _, p := range points {
		if p.X <= 0 || p.Y <= 0 {
			return 0
		}
		logs = append(logs, Point{X: math.Log(p.X), Y: math.Log(p.Y)})
	}
	_, power := fitLine(logs, evenWeights(len(logs)))
	return power
}
