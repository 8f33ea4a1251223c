package tailer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/internal/tailer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func newClient(t *testing.T, handler http.Handler) *tailer.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := tailer.NewNamedClient(strings.TrimPrefix(server.URL, "http://"), "entry-a")
	t.Cleanup(client.Close)
	return client
}

func newLog(t *testing.T, settings faker.LogSettings) (*faker.Log, *tailer.Client) {
	t.Helper()
	log := faker.NewLog(settings)
	client := newClient(t, log)
	t.Cleanup(log.Close)
	return log, client
}

func texts(page tailer.Page) string {
	var all []string
	for _, r := range page.Records {
		all = append(all, string(r.Data))
	}
	return strings.Join(all, " ")
}

func TestReadPages(t *testing.T) {
	tests := map[string]struct {
		retain    int
		from      identifier.Offset
		limit     int
		want      string
		wantFirst identifier.Offset
		expired   bool
	}{
		"all":               {limit: 10, want: "a b c d"},
		"part":              {from: 1, limit: 2, want: "b c"},
		"at the end":        {from: 4, limit: 10},
		"limit below one":   {limit: 0, want: "a"},
		"retained":          {retain: 2, from: 2, limit: 10, want: "c d", wantFirst: 2},
		"below retained":    {retain: 2, from: 1, limit: 10, wantFirst: 2, expired: true},
		"past what is left": {from: 9, limit: 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			_, client := newLog(t, faker.LogSettings{RetainRecords: tc.retain})
			first, err := client.Append(ctx, [][]byte{[]byte("a"), []byte("b")})
			is.NoErr(err)
			is.Equal(first, identifier.Offset(0))
			first, err = client.Append(ctx, [][]byte{[]byte("c"), []byte("d")})
			is.NoErr(err)
			is.Equal(first, identifier.Offset(2))
			page, err := client.Read(ctx, tc.from, tc.limit, 0)
			if tc.expired {
				expired, ok := tailer.AsErrExpired(err)
				is.True(ok && tailer.IsErrExpired(err))
				is.Equal(expired.FirstRetained(), tc.wantFirst)
				return
			}
			is.NoErr(err)
			is.Equal(texts(page), tc.want)
			is.Equal(page.Next, identifier.Offset(4))
			is.Equal(page.FirstRetained, tc.wantFirst)
		})
	}
}

func TestReadWaitsForRecord(t *testing.T) {
	is := is.New(t)
	log, client := newLog(t, faker.LogSettings{})
	pages := make(chan tailer.Page, 1)
	go func() {
		page, _ := client.Read(context.Background(), 0, 10, time.Minute)
		pages <- page
	}()
	log.Append([][]byte{[]byte("late")})
	is.Equal(texts(<-pages), "late")
}

func TestAppendWhoseReplyIsLostTakesEffect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log, client := newLog(t, faker.LogSettings{})
	log.SetFaults(faker.LogFaults{LoseReplies: 1})
	_, err := client.Append(ctx, [][]byte{[]byte("a")})
	is.True(tailer.IsErrUnavailable(err))
	page, err := client.Read(ctx, 0, 10, 0)
	is.NoErr(err)
	is.Equal(texts(page), "a") // once, though its reply was lost
}

func TestUnavailable(t *testing.T) {
	tests := map[string]faker.LogFaults{
		"outage":       {Outage: true},
		"silent":       {Silent: true},
		"cut for this": {CutCallers: []string{"entry-a"}},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log, client := newLog(t, faker.LogSettings{})
			log.SetFaults(faults)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := client.Append(ctx, [][]byte{[]byte("a")})
			is.True(tailer.IsErrUnavailable(err))
			_, err = client.Read(ctx, 0, 1, 0)
			is.True(tailer.IsErrUnavailable(err))
			log.SetFaults(faker.LogFaults{CutCallers: []string{"entry-b"}})
			_, err = client.Read(context.Background(), 0, 1, 0)
			is.NoErr(err)
		})
	}
}

func TestReadRefusesWrongPages(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
	}{
		"gap":               {status: 200, body: `{"next":9,"records":[{"offset":1},{"offset":3}]}`},
		"other start":       {status: 200, body: `{"next":9,"records":[{"offset":0}]}`},
		"next below end":    {status: 200, body: `{"next":1,"records":[{"offset":1}]}`},
		"no JSON":           {status: 200, body: `<html>`},
		"wrong expiry":      {status: 410, body: `gone`},
		"unexpected status": {status: 302, body: ``},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}))
			_, err := client.Read(context.Background(), 1, 10, 0)
			is.True(tailer.IsErrUnavailable(err))
		})
	}
}

func TestAppendBoundsSizes(t *testing.T) {
	tests := map[string][][]byte{
		"one record": {make([]byte, tailer.MaxRecordBytes+1)},
		"together":   {make([]byte, tailer.MaxRecordBytes), make([]byte, tailer.MaxRecordBytes), {1}},
	}
	for name, records := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log, client := newLog(t, faker.LogSettings{})
			_, err := client.Append(context.Background(), records)
			is.True(tailer.IsErrTooLarge(err))
			is.Equal(log.Append(nil), identifier.Offset(0))
		})
	}
}
