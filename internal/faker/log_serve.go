package faker

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/internal/tailer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// ExpireRequest is the body of POST /admin/expire: the records below FirstRetained are dropped.
type ExpireRequest struct {
	FirstRetained identifier.Offset `json:"first_retained"`
}

func (l *Log) expire(w http.ResponseWriter, r *http.Request) {
	var request ExpireRequest
	if !decodeJSON(w, r, &request) {
		return
	}
	l.Expire(request.FirstRetained)
	writeJSON(w, http.StatusOK, request)
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request tailer.AppendRequest
	if !decodeBounded(w, r, appendBodyBytes, &request) {
		return
	}
	if !l.meet(w, r) {
		return
	}
	first := l.Append(request.Records)
	if l.faults.take(func(f *LogFaults) *int { return &f.LoseReplies }) {
		breakConnection()
	}
	writeJSON(w, http.StatusOK, tailer.AppendAnswer{FirstOffset: first})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query, ok := parseRead(r)
	if !ok {
		writeJSON(w, http.StatusBadRequest, refusal{Message: "from, max and wait_ms are whole numbers"})
		return
	}
	if !l.meet(w, r) {
		return
	}
	page, expired := l.await(r.Context(), query)
	// A cut or an outage that began during the wait holds this answer too.
	if !l.meet(w, r) {
		return
	}
	if expired {
		writeJSON(w, http.StatusGone, tailer.ExpiredAnswer{FirstRetained: page.FirstRetained})
		return
	}
	writeJSON(w, http.StatusOK, page)
}

type readQuery struct {
	from identifier.Offset
	max  int
	wait time.Duration
}

func parseRead(r *http.Request) (readQuery, bool) {
	values := r.URL.Query()
	from, errFrom := strconv.ParseUint(values.Get("from"), 10, 64)
	limit, errMax := parseOptional(values.Get("max"), tailer.MaxPageRecords)
	wait, errWait := parseOptional(values.Get("wait_ms"), 0)
	if errFrom != nil || errMax != nil || errWait != nil || limit < 1 || wait < 0 {
		return readQuery{}, false
	}
	query := readQuery{from: identifier.Offset(from), max: int(min(limit, tailer.MaxPageRecords))}
	query.wait = min(milliseconds(wait), maxReadWait)
	return query, true
}

func parseOptional(text string, absent int64) (int64, error) {
	if text == "" {
		return absent, nil
	}
	return strconv.ParseInt(text, 10, 32)
}

// await returns the page for query, after up to query.wait where there is no record yet.
func (l *Log) await(ctx context.Context, query readQuery) (page tailer.Page, expired bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := make(chan struct{})
	go func() {
		defer close(timeout)
		l.settings.Clock.sleep(ctx, query.wait)
	}()
	for {
		page, expired, changed := l.read(query)
		if expired || len(page.Records) > 0 || query.wait == 0 || changed == nil {
			return page, expired
		}
		select {
		case <-changed:
		case <-timeout:
			page, expired, _ = l.read(query)
			return page, expired
		}
	}
}

// read returns the page for query; changed is closed at the next change, and nil when the log is closed.
func (l *Log) read(query readQuery) (page tailer.Page, expired bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropOld(l.settings.Clock.now())
	page = tailer.Page{FirstRetained: l.first, Next: l.next(), Records: []tailer.Record{}}
	if query.from < l.first {
		return page, true, nil
	}
	size := 0
	for offset := query.from; offset < l.next() && len(page.Records) < query.max; offset++ {
		data := l.records[offset-l.first].data
		size += len(data)
		if size > pageBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, tailer.Record{Offset: offset, Data: data})
	}
	if l.closed {
		return page, false, nil
	}
	return page, false, l.changed
}
