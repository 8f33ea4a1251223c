package emulator

// ServerFaults are the faults of a Server that can be switched at run time. In a number of requests, answers or orders,
// Unlimited means all.
type ServerFaults struct {
	// Shed makes the server act as if its queue were full.
	Shed bool `json:"shed"`
	// RetryAfterMS is sent as Retry-After, in milliseconds, when the server is full; 0 means that it is not sent.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// Limit is the number of requests a second that the server names as its limit in all answers; empty means none. The server
	// accepts more all the same.
	Limit string `json:"limit"`
	// WarmupMS makes the server cold for that many milliseconds from the time at which the value changes; 0 ends a warm-up.
	WarmupMS int64 `json:"warmup_ms"`
	// Load replaces the load that the server names in its answers; empty leaves it as it is.
	Load string `json:"load"`
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// InvertHealthChecks inverts the answers to health checks.
	InvertHealthChecks bool `json:"lying_health"`
	// FailRequests is the number of requests that are executed and answered with 500.
	FailRequests int `json:"fail_requests"`
	// LoseAnswers is the number of requests that are executed and whose connection is closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// CutAnswers is the number of answers whose connection is closed after half of the body.
	CutAnswers int `json:"cut_answers"`
	// GarbleAnswers is the number of answers that are replaced by bytes that are not HTTP.
	GarbleAnswers int `json:"garble_answers"`
	// ExtraAnswers is the number of answers that are sent twice.
	ExtraAnswers int `json:"extra_answers"`
	// LateOrders is the number of orders (grants and releases) that are applied LateMS later and whose connection is closed
	// without an answer.
	LateOrders int `json:"late_orders"`
	// LateMS is the delay of these orders, in milliseconds.
	LateMS int64 `json:"late_ms"`
	// Chunked makes the server send answers without a Content-Length.
	Chunked bool `json:"chunked"`
	// RefuseConnections makes the server close new connections as soon as it accepts them.
	RefuseConnections bool `json:"refuse_connections"`
}
