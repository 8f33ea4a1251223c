package emulator

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
)

// maxCollectBytes bounds one posted execution.
const maxCollectBytes = 64 << 10

// Collector keeps the executions that servers post to POST /executions, so that those of a server that is killed are
// not lost. GET /admin/executions?from=N gives them by pages. Use NewCollector.
type Collector struct {
	handler    http.Handler
	executions executions
}

// NewCollector returns a Collector without executions.
func NewCollector() *Collector {
	c := &Collector{}
	router := mux.NewRouter()
	router.HandleFunc("/executions", c.collect).Methods(http.MethodPost)
	router.HandleFunc("/admin/executions", c.list).Methods(http.MethodGet)
	c.handler = router
	return c
}

// ServeHTTP implements http.Handler.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.handler.ServeHTTP(w, r) }

// Add keeps e in place of an older state of the same execution.
func (c *Collector) Add(e Execution) { c.executions.add(e) }

// All returns all executions.
func (c *Collector) All() []Execution { return c.executions.all() }

func (c *Collector) collect(w http.ResponseWriter, r *http.Request) {
	var e Execution
	if !decodeBounded(w, r, maxCollectBytes, &e) {
		return
	}
	c.Add(e)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (c *Collector) list(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi("0" + r.URL.Query().Get("from"))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Message: "from is a whole number"})
		return
	}
	writeJSON(w, http.StatusOK, c.executions.page(from))
}
