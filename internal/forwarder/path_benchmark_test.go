package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	benchClients   = 4
	benchBodyBytes = 2 << 10
	benchPath      = "/desk/app-17/preview"
)

// passThrough is the least that net/http needs to pass a request on; it checks, limits and knows nothing.
type passThrough struct {
	backend   string
	transport *http.Transport
}

func (p *passThrough) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = p.backend
	out.URL.Path = strings.TrimPrefix(r.URL.Path, "/s")
	answer, err := p.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.StatusCode)
	buffer := relayBuffers.Get().(*[relayBytes]byte)
	defer relayBuffers.Put(buffer)
	_, _ = io.CopyBuffer(struct{ io.Writer }{w}, answer.Body, buffer[:])
}

// BenchmarkPath compares ways to the same backend server over loopback, each with the same closed loop of clients.
// Allocations are those of the client, the way and the server together: subtract direct to compare the ways.
func BenchmarkPath(b *testing.B) {
	body := []byte(strings.Repeat("x", benchBodyBytes))
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(body)
	}))
	defer backend.Close()
	address := strings.TrimPrefix(backend.URL, "http://")
	text := strings.ReplaceAll(bundleText, "slots: 2, connections: 10", "slots: 64, connections: 256")
	c := newClusterOf(b, fmt.Sprintf(text, address, "127.0.0.1:1", "127.0.0.1:2"))
	c.a.Forwarder.observer, c.b.Forwarder.observer = Ignore{}, Ignore{}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	through := httptest.NewServer(&passThrough{backend: address, transport: transport})
	defer through.Close()
	b.Run("direct", func(b *testing.B) { benchmarkURL(b, backend.URL+benchPath) })
	b.Run("pass_through", func(b *testing.B) { benchmarkURL(b, through.URL+"/s"+benchPath) })
	b.Run("local", func(b *testing.B) { benchmarkURL(b, c.a.callers.URL+"/s"+benchPath) })
	b.Run("peer", func(b *testing.B) { benchmarkURL(b, c.b.callers.URL+"/s"+benchPath) })
}

func benchmarkURL(b *testing.B, url string) {
	b.ReportAllocs()
	var wait sync.WaitGroup
	histograms := make([]*hdrhistogram.Histogram, benchClients)
	b.ResetTimer()
	for i := range histograms {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		requests := b.N / benchClients
		if i < b.N%benchClients {
			requests++
		}
		wait.Go(func() { benchmarkClient(b, url, requests, histograms[i]) })
	}
	wait.Wait()
	b.StopTimer()
	all := histograms[0]
	for _, h := range histograms[1:] {
		all.Merge(h)
	}
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

func benchmarkClient(b *testing.B, url string, requests int, h *hdrhistogram.Histogram) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for range requests {
		started := time.Now()
		answer, err := client.Get(url)
		if err != nil {
			b.Error(err)
			return
		}
		n, err := io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		if err != nil || n != benchBodyBytes || answer.StatusCode != http.StatusOK {
			b.Errorf("status %d, %d bytes, %v", answer.StatusCode, n, err)
			return
		}
		_ = h.RecordValue(time.Since(started).Microseconds())
	}
}
