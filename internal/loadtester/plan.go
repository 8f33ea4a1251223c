// Package loadtester is a load generator: it sends open-loop load over HTTP to many entry instances and checks the
// result of each request by the outcome that the caller was told, by the answer itself and by the executions that the
// backend servers counted.
package loadtester

import (
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// The bounds and defaults of a Plan.
const (
	maxPlanBytes    = 1 << 20
	maxBodyBytes    = 64 << 20
	defaultInFlight = 4096
	defaultTimeout  = 10 * time.Second
	defaultKeys     = 1000
	maxKeys         = keySpace
	keySpace        = 1 << 16 // keys of requests are numbers of 16 bits
)

// Plan says what load is sent.
type Plan struct {
	// Rate is the mean of the requests per second; the times between two are drawn from an exponential distribution.
	Rate float64 `yaml:"rate"`
	// Count is how many requests are sent; 0 leaves it to Duration.
	Count int `yaml:"count"`
	// Duration is how long requests are sent; 0 leaves it to Count.
	Duration time.Duration `yaml:"duration"`
	// Seed makes the sequence of requests.
	Seed uint64 `yaml:"seed"`
	// Retries is how often a request whose outcome is not_run is sent again, to another entry.
	Retries int `yaml:"retries"`
	// RetryPause is the least time before that; the entry may ask for more.
	RetryPause time.Duration `yaml:"retry_pause"`
	// InFlight bounds the requests under way; a request over the bound is not sent.
	InFlight int     `yaml:"in_flight"`
	Keys     Keys    `yaml:"keys"`
	Classes  []Class `yaml:"classes"`
}

// Class is one kind of request in the mix.
type Class struct {
	Name string `yaml:"name"`
	// Host and Path are those of a route; the number of the key follows the path.
	Host string `yaml:"host"`
	Path string `yaml:"path"`
	// Keyed says that requests carry their key for a service that is divided by key.
	Keyed  bool   `yaml:"keyed"`
	Method string `yaml:"method"`
	// AtMostOnce says that a request of the class may not be executed twice.
	AtMostOnce bool `yaml:"at_most_once"`
	// Weight is the class's share in the mix, relative to the others.
	Weight      float64 `yaml:"weight"`
	BodyBytes   int     `yaml:"body_bytes"`
	AnswerBytes int     `yaml:"answer_bytes"`
	// Timeout is how long the entry may take; the client waits a little longer.
	Timeout time.Duration `yaml:"timeout"`
}

// DecodePlan decodes a plan in YAML; unknown keys are an error.
func DecodePlan(raw []byte) (Plan, error) {
	if len(raw) > maxPlanBytes {
		return Plan{}, errors.Errorf("plan is over %d bytes", maxPlanBytes)
	}
	var plan Plan
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	if err := decoder.Decode(&plan); err != nil && !errors.Is(err, io.EOF) {
		return Plan{}, errors.Wrap(err, "decode plan")
	}
	return plan, nil
}

// complete returns the plan with its defaults, or an error that says what is wrong with it.
func (p Plan) complete() (Plan, error) {
	if p.Rate <= 0 {
		return p, errors.New("rate is above 0")
	}
	if (p.Count > 0) == (p.Duration > 0) {
		return p, errors.New("either count or duration is above 0")
	}
	if len(p.Classes) == 0 {
		return p, errors.New("at least one class is needed")
	}
	if p.InFlight == 0 {
		p.InFlight = defaultInFlight
	}
	classes := make([]Class, 0, len(p.Classes))
	for _, c := range p.Classes {
		c, err := c.complete()
		if err != nil {
			return p, err
		}
		classes = append(classes, c)
	}
	p.Classes = classes
	return p, p.Keys.check()
}

func (c Class) complete() (Class, error) {
	if c.Name == "" || c.Host == "" || !strings.HasPrefix(c.Path, "/") || !strings.HasSuffix(c.Path, "/") {
		return c, errors.New("each class has a name, a host and a path between slashes")
	}
	if c.Weight < 0 || c.BodyBytes < 0 || c.BodyBytes > maxBodyBytes || c.AnswerBytes < 0 {
		return c, errors.Errorf("class %s: weight, body_bytes and answer_bytes are at least 0 and bounded", c.Name)
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
