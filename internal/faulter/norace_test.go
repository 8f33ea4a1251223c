//go:build !race

package faulter

// stride is 1 where the long tables run whole.
const stride = 1
