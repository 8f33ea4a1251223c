// Package verifier contains only tests. They run the real programs as separate processes on the loopback interface, inject
// faults from outside, and check what clients and backend servers observe.
package verifier
