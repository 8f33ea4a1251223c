// Package prover holds tests that run the real processes on loopback, under load, with SIGKILL, SIGSTOP, SIGTERM, cut
// callers and outages of the platform's log. They wait for states, never for times.
package prover
