//go:build race

package faulter

// stride thins the cells and seeds of the long tables under the race detector, which is about five times as slow. CI
// runs the whole tables without it in a step of their own.
const stride = 8
