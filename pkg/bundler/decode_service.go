package bundler

import (
	"slices"
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

// The bounds and defaults of services and servers.
const (
	maxServices           = 256
	maxServers            = 1024
	maxPartitions         = 4096
	minImbalanceBound     = 1
	maxImbalanceBound     = 10
	defaultImbalanceBound = 1.1
	defaultChurnBudget    = 12
	maxSlots              = 10_000
	maxConnections        = 100_000
	maxConnectTime        = time.Second
	maxColdStart          = 10 * time.Minute
)

// serverSeen finds what has to be unique over the servers of all services.
type serverSeen struct {
	names     unique[identifier.ServerName]
	addresses unique[string]
}

func (b *Bundle) readServices(list parser.Value) {
	b.serviceByName = map[identifier.ServiceName]Service{}
	b.serverByName = map[identifier.ServerName]location{}
	names := unique[identifier.ServiceName]{code: "doubled_service"}
	servers := &serverSeen{
		names:     unique[identifier.ServerName]{code: "doubled_server"},
		addresses: unique[string]{code: "doubled_address"},
	}
	for _, item := range list.Items(1, maxServices) {
		b.readService(item, &names, servers)
	}
}

func (b *Bundle) readService(item parser.Value, names *unique[identifier.ServiceName], seen *serverSeen) {
	m := item.Mapping("name", "keyed", "partitions", "imbalance_bound", "churn_budget", "classes",
		"server_defaults", "servers")
	if !m.Present() {
		return
	}
	name := m.Required("name")
	data := &serviceData{
		name:           identifier.ServiceName(name.Match(snakeName, snakeNameForm)),
		place:          m.Place(),
		keyedPlace:     m.Optional("keyed").Place(),
		partitionPlace: m.Optional("partitions").Place(),
	}
	data.readPlacing(m)
	data.classes = readClasses(m.Required("classes"), data.keyed)
	b.readServers(m, data, seen)
	if names.add(name, data.name) {
		service := Service{data: data}
		b.services = append(b.services, service)
		b.serviceByName[data.name] = service
	}
}

// readPlacing reads how keys are placed on servers.
func (s *serviceData) readPlacing(m parser.Mapping) {
	keyed := m.Required("keyed")
	s.keyed = keyed.Bool()
	if keyed.Is("false") {
		for _, key := range []string{"partitions", "imbalance_bound", "churn_budget"} {
			m.Optional(key).Report("not_keyed", strconv.Quote(key)+" stands in a service that is not keyed",
				"no such key, or keyed: true")
		}
		return
	}
	if !s.keyed {
		return
	}
	s.partitions = int(m.Required("partitions").Int(1, maxPartitions))
	s.imbalanceBound = defaultImbalanceBound
	if bound := m.Optional("imbalance_bound"); bound.Present() {
		s.imbalanceBound = bound.Float(minImbalanceBound, maxImbalanceBound)
	}
	s.churnBudget = defaultChurnBudget
	if budget := m.Optional("churn_budget"); budget.Present() {
		s.churnBudget = int(budget.Int(0, maxPartitions))
	}
}

// capacityKeys may stand at a server or, for all servers of the service, in server_defaults.
var capacityKeys = []string{"slots", "connections", "connect_time", "cold_start"}

func (b *Bundle) readServers(m parser.Mapping, data *serviceData, seen *serverSeen) {
	data.serverByName = map[identifier.ServerName]Server{}
	defaults := m.Optional("server_defaults").Mapping(capacityKeys...)
	var common serverData
	common.readCapacity(defaults)
	for _, item := range m.Required("servers").Items(1, maxServers) {
		if server, ok := b.readServer(item, common, defaults, seen); ok {
			data.servers = append(data.servers, server)
			data.serverByName[server.Name()] = server
			b.serverByName[server.Name()] = location{server: server, service: data.name}
		}
	}
}

// readServer returns a server and whether its name is usable.
func (b *Bundle) readServer(item parser.Value, data serverData, defaults parser.Mapping, seen *serverSeen) (Server, bool) {
	m := item.Mapping(append([]string{"name", "failure_domain", "address", "leaving"}, capacityKeys...)...)
	if !m.Present() {
		return Server{}, false
	}
	name, domain, address := m.Required("name"), m.Required("failure_domain"), m.Required("address")
	data.name = identifier.ServerName(name.Match(snakeName, snakeNameForm))
	data.domain = b.readDomain(domain)
	data.address = parser.AddressText(address.Address())
	data.leaving = m.Optional("leaving").Bool()
	data.place, data.addressPlace = m.Place(), address.Place()
	for _, key := range capacityKeys {
		if !defaults.Optional(key).Present() {
			m.Required(key)
		}
	}
	data.readCapacity(m)
	seen.addresses.add(address, data.address)
	return Server{data: &data}, seen.names.add(name, data.name)
}

// readCapacity reads what m has of the capacity keys and leaves the rest as it is.
func (s *serverData) readCapacity(m parser.Mapping) {
	slots, connections := m.Optional("slots"), m.Optional("connections")
	if slots.Present() {
		s.slots = int(slots.Int(1, maxSlots))
	}
	if connections.Present() {
		s.connections = int(connections.Int(1, maxConnections))
	}
	if (slots.Present() || connections.Present()) && s.connections > 0 && s.connections < s.slots {
		m.Report("out_of_range", "fewer connections than slots", "at least "+strconv.Itoa(s.slots)+" connections")
	}
	if connectTime := m.Optional("connect_time"); connectTime.Present() {
		s.connectTime = connectTime.Duration(0, maxConnectTime)
	}
	if coldStart := m.Optional("cold_start"); coldStart.Present() {
		s.coldStart = coldStart.Duration(0, maxColdStart)
	}
}

func (b *Bundle) readDomain(value parser.Value) identifier.DomainName {
	domain := identifier.DomainName(value.Match(snakeName, snakeNameForm))
	if domain != "" && !slices.Contains(b.domains, domain) {
		value.Report("unknown_failure_domain", strconv.Quote(string(domain))+" is not among the failure domains",
			"one of failure_domains")
	}
	return domain
}
