package emulator

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
)

// maxExecutionBytes bounds the body of a posted execution.
const maxExecutionBytes = 64 << 10

// Collector stores the executions that servers send to POST /executions, so that they outlive a server that is killed.
// GET /admin/executions?from=N returns them page by page. Use NewCollector.
type Collector struct {
	handler    http.Handler
	executions executions
}

// NewCollector returns a Collector without executions.
func NewCollector() *Collector {
	c := &Collector{}
	router := mux.NewRouter()
	router.HandleFunc("/executions", c.serveCollect).Methods(http.MethodPost)
	router.HandleFunc("/admin/executions", c.serveList).Methods(http.MethodGet)
	c.handler = router
	return c
}

// ServeHTTP implements http.Handler.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.handler.ServeHTTP(w, r) }

// Add stores e and replaces an earlier state of the same execution.
func (c *Collector) Add(e Execution) { c.executions.add(e) }

// All returns all stored executions in the order in which they were first added.
func (c *Collector) All() []Execution { return c.executions.all() }

func (c *Collector) serveCollect(w http.ResponseWriter, r *http.Request) {
	var e Execution
	if !decodeBody(w, r, maxExecutionBytes, &e) {
		return
	}
	c.Add(e)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (c *Collector) serveList(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi("0" + r.URL.Query().Get("from"))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Message: "from is a whole number"})
		return
	}
	writeJSON(w, http.StatusOK, c.executions.page(from))
}
