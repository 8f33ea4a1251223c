package surveyor

import (
	"math"
	"strconv"
	"strings"
)

const (
	// digits is how many significant digits a figure has.
	digits = 3
	// nothing is below every figure that is not an error of rounding.
	nothing = 1e-12
)

// Figure returns v as the page cites it: three significant digits, with commas between thousands.
func Figure(v float64) string {
	if math.Abs(v) < nothing {
		return "0"
	}
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', digits, 64), 64)
	if err != nil || math.Abs(rounded) < 1000 {
		return strconv.FormatFloat(rounded, 'g', digits, 64)
	}
	return group(strconv.FormatFloat(rounded, 'f', 0, 64))
}

// group puts a comma before each three digits from the end.
func group(number string) string {
	sign := ""
	if strings.HasPrefix(number, "-") {
		sign, number = "-", number[1:]
	}
	head := len(number) % 3
	parts := []string{}
	if head > 0 {
		parts = append(parts, number[:head])
	}
	for i := head; i < len(number); i += 3 {
		parts = append(parts, number[i:i+3])
	}
	return sign + strings.Join(parts, ",")
}
