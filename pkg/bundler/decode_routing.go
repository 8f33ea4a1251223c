package bundler

import (
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/pkg/reporter"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

// Patterns of hosts and paths.
var (
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	prefixPattern = regexp.MustCompile(`^/([^/\s?#]+/)*$`)
	pathPattern   = regexp.MustCompile(`^/[^\s?#]*$`)
)

// Descriptions of these patterns in findings.
const (
	hostDescription   = "a host name in lower case, without a port"
	prefixDescription = "a path that begins and ends with a slash"
	pathDescription   = "a path that begins with a slash"
)

// Bounds of services, routes and limits.
const (
	maxServices      = 256
	maxRoutes        = 10_000
	maxRouteServices = 64
	maxWeight        = 1_000_000
	maxConnections   = 100_000
	maxKeyWarmup     = 10 * time.Minute
	maxWarmupTime    = 10 * time.Minute
	maxWarmupRate    = 1_000_000
	maxPriority      = 9
	maxAttempts      = 8
	minTimeout       = time.Millisecond
	maxTimeout       = 10 * time.Minute
	maxHeaderBytes   = 1 << 20
	maxBodyBytes     = 1 << 30
)

func (b *Bundle) readLimits(value parser.Value) {
	m := value.Mapping("header_bytes", "body_bytes", "header_timeout", "idle_timeout")
	b.places.bodyBytes = m.Optional("body_bytes").Place()
	b.limits = Limits{
		HeaderBytes:   int(m.Required("header_bytes").Bytes(1, maxHeaderBytes)),
		BodyBytes:     m.Required("body_bytes").Bytes(0, maxBodyBytes),
		HeaderTimeout: m.Required("header_timeout").Duration(minTimeout, maxTimeout),
		IdleTimeout:   m.Required("idle_timeout").Duration(minTimeout, maxTimeout),
	}
}

func (b *Bundle) readServices(list parser.Value) {
	names := uniqueSet[string]{code: "doubled_service"}
	for _, item := range list.Items(1, maxServices) {
		m := item.Mapping("name", "keyed", "health_path", "connections", "cold_keys", "warmup", "warmup_rate")
		name, keyed, keyWarmup := m.Required("name"), m.Required("keyed"), m.Optional("cold_keys")
		warmup, warmupRate := m.Optional("warmup"), m.Optional("warmup_rate")
		s := Service{
			Name:           name.Match(snakeNamePattern, snakeNameDescription),
			Keyed:          keyed.Bool(),
			HealthPath:     m.Required("health_path").Match(pathPattern, pathDescription),
			MaxConnections: int(m.Required("connections").Int(1, maxConnections)),
			KeyWarmup:      keyWarmup.Duration(0, maxKeyWarmup),
			WarmupTime:     warmup.Duration(0, maxWarmupTime),
			WarmupRate:     warmupRate.Float(0, maxWarmupRate),
		}
		if warmupRate.Present() && !warmup.Present() {
			warmupRate.Report("no_warmup", `"warmup_rate" is set without "warmup"`, "warmup, the time for which a server is cold")
		}
		if keyed.Is("false") {
			keyWarmup.Report("not_keyed", `"cold_keys" is set for a service that is not keyed`, "no cold_keys, or keyed: true")
		}
		if names.add(name, s.Name) {
			b.services = append(b.services, s)
			b.places.keyed[s.Name] = keyed.Place()
			b.places.services[s.Name] = name.Place()
		}
	}
}

func (b *Bundle) readRoutes(list parser.Value) {
	names := uniqueSet[string]{code: "doubled_route"}
	prefixes := uniqueSet[string]{code: "doubled_prefix"}
	for _, item := range list.Items(1, maxRoutes) {
		m := item.Mapping("name", "host", "prefix", "idempotent", "large_bodies", "priority", "timeout", "objective", "attempts", "services")
		name, prefix := m.Required("name"), m.Required("prefix")
		r := Route{
			Name:        name.Match(snakeNamePattern, snakeNameDescription),
			Host:        m.Required("host").Match(hostPattern, hostDescription),
			Prefix:      prefix.Match(prefixPattern, prefixDescription),
			Idempotent:  m.Required("idempotent").Bool(),
			Priority:    int(m.Required("priority").Int(0, maxPriority)),
			Timeout:     m.Required("timeout").Duration(minTimeout, maxTimeout),
			Objective:   m.Required("objective").Duration(minTimeout, maxTimeout),
			MaxAttempts: int(m.Required("attempts").Int(1, maxAttempts)),
		}
		var weights map[string]reporter.Place
		r.Services, weights = b.readWeightedServices(m.Required("services"))
		if large := m.Optional("large_bodies"); large.Present() {
			r.LargeBodies = large.Bool()
		}
		if r.Objective > r.Timeout && r.Timeout > 0 {
			m.Optional("objective").Report("out_of_range", "longer than the timeout", "at most "+r.Timeout.String())
		}
		if r.Prefix != "" {
			prefixes.add(prefix, r.Host+r.Prefix)
		}
		if names.add(name, r.Name) {
			b.routes = append(b.routes, r)
			b.places.routes[r.Name] = routePlaces{
				prefix: prefix.Place(), priority: m.Optional("priority").Place(), timeout: m.Optional("timeout").Place(),
				attempts: m.Optional("attempts").Place(), weights: weights,
			}
		}
	}
}

// readWeightedServices reads the services that share a route, each with its weight, and the places of the weights.
func (b *Bundle) readWeightedServices(list parser.Value) ([]WeightedService, map[string]reporter.Place) {
	var services []WeightedService
	weights := map[string]reporter.Place{}
	seen := uniqueSet[string]{code: "doubled_service"}
	for _, item := range list.Items(1, maxRouteServices) {
		m := item.Mapping("service", "weight")
		name := m.Required("service")
		w := WeightedService{Service: name.Match(snakeNamePattern, snakeNameDescription), Weight: 1}
		if weight := m.Optional("weight"); weight.Present() {
			w.Weight = int(weight.Int(0, maxWeight))
			weights[w.Service] = weight.Place()
		}
		if w.Service != "" && !slices.ContainsFunc(b.services, func(s Service) bool { return s.Name == w.Service }) {
			name.Report("unknown_service", strconv.Quote(w.Service)+" is not among the services", "the name of a service")
		}
		if seen.add(name, w.Service) {
			services = append(services, w)
		}
	}
	if len(services) > 0 && !slices.ContainsFunc(services, func(w WeightedService) bool { return w.Weight > 0 }) {
		list.Report("out_of_range", "all weights are 0", "a weight above 0")
	}
	return services, weights
}
