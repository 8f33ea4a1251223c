package faker

import (
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// maxCollectBytes bounds one posted execution.
const maxCollectBytes = 64 << 10

// executionID names one execution over all servers and runs.
type executionID struct {
	server   identifier.ServerName
	run      string
	sequence int
}

// Collector keeps the executions that servers post to POST /executions, so that those of a server that is killed are
// not lost. GET /admin/executions gives them as a Server does. Use NewCollector.
type Collector struct {
	handler http.Handler

	mu         sync.Mutex
	executions []Execution
	positions  map[executionID]int
}

// NewCollector returns a Collector without executions.
func NewCollector() *Collector {
	c := &Collector{positions: map[executionID]int{}}
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/executions", c.collect).Methods(http.MethodPost)
	router.HandleFunc("/admin/executions", c.list).Methods(http.MethodGet)
	c.handler = router
	return c
}

// ServeHTTP implements http.Handler.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.handler.ServeHTTP(w, r) }

// Add keeps e in place of an older state of the same execution.
func (c *Collector) Add(e Execution) {
	id := executionID{server: e.Server, run: e.Run, sequence: e.Sequence}
	c.mu.Lock()
	defer c.mu.Unlock()
	if position, ok := c.positions[id]; ok {
		c.executions[position] = e
		return
	}
	c.positions[id] = len(c.executions)
	c.executions = append(c.executions, e)
}

// Executions returns the executions from the given position on, at most 10,000.
func (c *Collector) Executions(from int) ExecutionPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return pageOf(c.executions, from)
}

func (c *Collector) collect(w http.ResponseWriter, r *http.Request) {
	var e Execution
	if !decodeBounded(w, r, maxCollectBytes, &e) {
		return
	}
	c.Add(e)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (c *Collector) list(w http.ResponseWriter, r *http.Request) {
	from, err := parseOptional(r.URL.Query().Get("from"), 0)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Message: "from is a whole number"})
		return
	}
	writeJSON(w, http.StatusOK, c.Executions(int(from)))
}

// All returns all executions.
func (c *Collector) All() []Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Execution{}, c.executions...)
}
