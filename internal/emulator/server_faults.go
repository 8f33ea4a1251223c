package emulator

// ServerFaults are the switches of a Server.
type ServerFaults struct {
	// Shed turns every new request away.
	Shed bool `json:"shed"`
	// SlowFactor multiplies service times; 0 is 1.
	SlowFactor float64 `json:"slow_factor"`
	// InvertHealthChecks inverts the answers to health checks.
	InvertHealthChecks bool `json:"lying_health"`
	// FailRequests answers that many requests with 500 after running them; -1 is all.
	FailRequests int `json:"fail_requests"`
	// LoseAnswers breaks the connection after running that many requests; -1 is all.
	LoseAnswers int `json:"lose_answers"`
	// CutAnswers breaks the connection in the middle of that many answers; -1 is all.
	CutAnswers int `json:"cut_answers"`
	// GarbleAnswers sends bytes that are no answer in place of that many answers; -1 is all.
	GarbleAnswers int `json:"garble_answers"`
	// ExtraAnswers sends that many answers twice; -1 is all.
	ExtraAnswers int `json:"extra_answers"`
	// LateOrders leaves that many orders without an answer and carries them out LateMS later; -1 is all.
	LateOrders int   `json:"late_orders"`
	LateMS     int64 `json:"late_ms"`
	// Chunked sends answers without a Content-Length.
	Chunked bool `json:"chunked"`
	// RefuseConnections closes new connections at once.
	RefuseConnections bool `json:"refuse_connections"`
}
