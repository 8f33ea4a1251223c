// Package loadtester is a load generator. It sends open-loop load over HTTP to several entry instances: requests start at
// their scheduled times, however long earlier ones take. It checks each request by the outcome that the client was told, by
// the answer itself and by the executions that the backend servers recorded.
package loadtester

import (
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// The limits and defaults of a Plan.
const (
	maxPlanBytes    = 1 << 20
	maxBodyBytes    = 64 << 20
	defaultInFlight = 4096
	defaultTimeout  = 10 * time.Second
	keySpace        = 1 << 16 // request keys are 16-bit numbers
	maxKeyCount     = keySpace
	defaultKeyCount = 1000
)

// Plan describes the load to send.
type Plan struct {
	// Rate is the mean number of requests per second. The times between requests are exponentially distributed.
	Rate float64 `yaml:"rate"`
	// Count is the number of requests to send; 0 means that Duration limits the run. Exactly one of the two is set.
	Count int `yaml:"count"`
	// Duration is how long requests are sent; 0 means that Count limits the run.
	Duration time.Duration `yaml:"duration"`
	// Seed seeds the random generator; the same plan and seed give the same sequence of requests.
	Seed uint64 `yaml:"seed"`
	// Retries is the maximum number of retries of a request whose outcome is not_run. Each one begins at the next
	// entry.
	Retries int `yaml:"retries"`
	// RetryDelay is the minimum delay before a retry; a longer Retry-After of the entry takes precedence.
	RetryDelay time.Duration `yaml:"retry_pause"`
	// InFlight limits the concurrent requests; a request above the limit is not sent. 0 means 4,096.
	InFlight int     `yaml:"in_flight"`
	Keys     Keys    `yaml:"keys"`
	Classes  []Class `yaml:"classes"`
}

// Class describes one kind of request in the load.
type Class struct {
	Name string `yaml:"name"`
	// Host and Path select a route. The request's key, as a decimal number, is appended to Path.
	Host string `yaml:"host"`
	Path string `yaml:"path"`
	// Keyed makes requests carry their key in a header, which a keyed service requires.
	Keyed bool `yaml:"keyed"`
	// Method is the HTTP method; empty means GET.
	Method string `yaml:"method"`
	// AtMostOnce states that requests of the class must not be executed more than once.
	AtMostOnce bool `yaml:"at_most_once"`
	// Weight is the share of the class in the load, relative to the weights of the others; 0 means 1.
	Weight float64 `yaml:"weight"`
	// BodyBytes is the size of each request's body, AnswerBytes the minimum size of each answer's body.
	BodyBytes   int `yaml:"body_bytes"`
	AnswerBytes int `yaml:"answer_bytes"`
	// Timeout is the time from the scheduled send time that the entry has for a request; the client waits one second longer.
	// 0 means 10 s.
	Timeout time.Duration `yaml:"timeout"`
}

// DecodePlan decodes a plan in YAML. It returns an error if the plan is larger than 1 MiB or has unknown keys; Run checks
// the values.
func DecodePlan(raw []byte) (Plan, error) {
	if len(raw) > maxPlanBytes {
		return Plan{}, errors.Errorf("plan is larger than %d bytes", maxPlanBytes)
	}
	var plan Plan
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	if err := decoder.Decode(&plan); err != nil && !errors.Is(err, io.EOF) {
		return Plan{}, errors.Wrap(err, "decode plan")
	}
	return plan, nil
}

// checkedWithDefaults checks the plan and returns it with the defaults filled in.
func (p Plan) checkedWithDefaults() (Plan, error) {
	if p.Rate <= 0 {
		return p, errors.New("rate must be above 0")
	}
	if (p.Count > 0) == (p.Duration > 0) {
		return p, errors.New("exactly one of count and duration must be above 0")
	}
	if len(p.Classes) == 0 {
		return p, errors.New("at least one class is required")
	}
	if p.InFlight == 0 {
		p.InFlight = defaultInFlight
	}
	classes := make([]Class, 0, len(p.Classes))
	for _, c := range p.Classes {
		c, err := c.checkedWithDefaults()
		if err != nil {
			return p, err
		}
		classes = append(classes, c)
	}
	p.Classes = classes
	return p, p.Keys.check()
}

// checkedWithDefaults checks the class and returns it with the defaults filled in.
func (c Class) checkedWithDefaults() (Class, error) {
	if c.Name == "" || c.Host == "" || !strings.HasPrefix(c.Path, "/") || !strings.HasSuffix(c.Path, "/") {
		return c, errors.New("each class needs a name, a host, and a path that begins and ends with a slash")
	}
	if c.Weight < 0 || c.BodyBytes < 0 || c.BodyBytes > maxBodyBytes || c.AnswerBytes < 0 {
		return c, errors.Errorf(
			"class %s: weight, body_bytes and answer_bytes must not be negative, and body_bytes must be at most 64 MiB", c.Name)
	}
	if c.Weight == 0 {
		c.Weight = 1
	}
	if c.Method == "" {
		c.Method = "GET"
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	return c, nil
}
