// Package verifier has no code of its own: its tests run the real programs as separate processes on loopback, inject
// faults from outside them, and check what clients and backend servers see.
package verifier
