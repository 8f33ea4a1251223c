package faker

import "github.com/wasabibank/wasabibank/internal/commander"

// HealthLie says what a backend server's health endpoint gives in place of the truth; "" is the truth.
type HealthLie string

// The health lies.
const (
	HealthLieHealthy HealthLie = "healthy"
	HealthLieSick    HealthLie = "sick"
)

// ServerFaults are the switches of a Server.
type ServerFaults struct {
	// Frozen stops every execution and every answer but those of the admin paths, until it is switched off; then the
	// server goes on as if nothing had happened.
	Frozen bool `json:"frozen"`
	// UncheckedFence executes requests whatever term, epoch and grant they carry.
	UncheckedFence bool `json:"unchecked_fence"`
	// UncheckedControl obeys grants, revokes, drains and cancels of any sender.
	UncheckedControl bool `json:"unchecked_control"`
	// Nonceless gives no nonces and counts the time to live of a grant from its receipt.
	Nonceless bool `json:"nonceless"`
	// Shed refuses every new request.
	Shed bool `json:"shed"`
	// SlowFactor multiplies service times; 0 is 1.
	SlowFactor float64 `json:"slow_factor"`
	// Health is what the health endpoint gives.
	Health HealthLie `json:"health"`
	// Load is what the load endpoint and grant answers give; null is the truth.
	Load *commander.Load `json:"load"`
	// LoseReplies breaks the connection after the effect of that many requests; -1 is all.
	LoseReplies int `json:"lose_replies"`
	// CutAnswers breaks the connection in the middle of that many answers; -1 is all.
	CutAnswers int `json:"cut_answers"`
	// LoseControlReplies breaks the connection after the effect of that many commands; -1 is all.
	LoseControlReplies int `json:"lose_control_replies"`
	// Chunked sends answers without a Content-Length.
	Chunked bool `json:"chunked"`
	// RefuseConnections closes new connections at once.
	RefuseConnections bool `json:"refuse_connections"`
}

// checks reports whether the server checks who orders it.
func (f ServerFaults) checks() bool { return !f.UncheckedFence && !f.UncheckedControl }
