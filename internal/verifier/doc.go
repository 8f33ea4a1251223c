// Package verifier contains only tests. They run the real program as several processes on the loopback interface, inject
// faults from outside, and check what clients and backend servers observe.
package verifier
