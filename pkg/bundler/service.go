package bundler

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// Service is a group of backend servers that do the same work. The zero Service has no name and no servers.
type Service struct {
	data *serviceData
}

type serviceData struct {
	name           identifier.ServiceName
	keyed          bool
	partitions     int
	imbalanceBound float64
	churnBudget    int
	servers        []Server
	serverByName   map[identifier.ServerName]Server
	classes        []Class
	place          reporter.Place
	keyedPlace     reporter.Place
	partitionPlace reporter.Place
}

var noService serviceData

func (s Service) get() *serviceData {
	if s.data == nil {
		return &noService
	}
	return s.data
}

// Name returns the name, which callers give in the path.
func (s Service) Name() identifier.ServiceName { return s.get().name }

// Keyed reports whether each key has one owning server; otherwise any server may answer.
func (s Service) Keyed() bool { return s.get().keyed }

// Partitions returns how many partitions the keys hash to; 0 when the service is not keyed.
func (s Service) Partitions() int { return s.get().partitions }

// ImbalanceBound returns the largest load of a server over the mean load that placing allows.
func (s Service) ImbalanceBound() float64 { return s.get().imbalanceBound }

// ChurnBudget returns how many partitions may move per minute for balance alone.
func (s Service) ChurnBudget() int { return s.get().churnBudget }

// Servers returns the servers in the order of the bundle.
func (s Service) Servers() []Server { return slices.Clone(s.get().servers) }

// GetServerByName returns a server of this service and whether it exists.
func (s Service) GetServerByName(name identifier.ServerName) (Server, bool) {
	server, ok := s.get().serverByName[name]
	return server, ok
}

// Classes returns the request classes in the order in which they match.
func (s Service) Classes() []Class { return slices.Clone(s.get().classes) }

// ClassFor returns the first class that matches method and rest, which is the path after the key,
// with or without its leading slash.
func (s Service) ClassFor(method, rest string) (Class, bool) {
	for _, class := range s.get().classes {
		if class.data.matches(method, rest) {
			return class, true
		}
	}
	return Class{}, false
}

// Server is a backend server. The zero Server has no name.
type Server struct {
	data *serverData
}

type serverData struct {
	name         identifier.ServerName
	domain       identifier.DomainName
	address      string
	slots        int
	connections  int
	connectTime  time.Duration
	coldStart    time.Duration
	leaving      bool
	place        reporter.Place
	addressPlace reporter.Place
}

var noServer serverData

func (s Server) get() *serverData {
	if s.data == nil {
		return &noServer
	}
	return s.data
}

// Name returns the name, unique over the bundle.
func (s Server) Name() identifier.ServerName { return s.get().name }

// Domain returns the failure domain.
func (s Server) Domain() identifier.DomainName { return s.get().domain }

// Address returns IP:port, unique over the bundle.
func (s Server) Address() string { return s.get().address }

// Slots returns how many requests the server executes at once.
func (s Server) Slots() int { return s.get().slots }

// Connections returns how many connections the server accepts from all instances together.
func (s Server) Connections() int { return s.get().connections }

// ConnectTime returns what a new connection costs.
func (s Server) ConnectTime() time.Duration { return s.get().connectTime }

// ColdStart returns how long a started server takes until it carries its full load.
func (s Server) ColdStart() time.Duration { return s.get().coldStart }

// Leaving reports whether the operators are taking the server out of service.
func (s Server) Leaving() bool { return s.get().leaving }
