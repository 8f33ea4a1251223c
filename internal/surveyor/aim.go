package surveyor

import "fmt"

// Estimate is a figure at the aimed size, worked out from slopes. It was not run.
type Estimate struct {
	Name       string  `json:"name"`
	Unit       string  `json:"unit"`
	Value      float64 `json:"value"`
	Arithmetic string  `json:"arithmetic"`
}

// plan is a system that shares one log stream and one roster.
type plan struct {
	name       string
	entries    float64
	servers    float64
	partitions float64
	pins       float64
	// bundles, restarts and losses are counts a day within the plan.
	bundles  float64
	restarts float64
	losses   float64
}

// aimedPlans are the whole system in one piece, and one of 1,000 cells of it.
func aimedPlans() []plan {
	return []plan{
		{name: "flat", entries: 12000, servers: 12000, partitions: 384000, pins: 1100, bundles: 6600, restarts: 1400, losses: 33},
		{name: "cell", entries: 12, servers: 12, partitions: 384, pins: 2, bundles: 6.6, restarts: 1.4, losses: 0.033},
	}
}

const (
	daySeconds      = 86400
	beatsASecond    = 10
	readsASecond    = 10
	snapshotSeconds = 600
	// logForm is by how much base64 in the log's answer lengthens a record.
	logForm = 4.0 / 3
	percent = 100
	mega    = 1e6
	// microsOne is the microseconds of a second.
	microsOne = 1e6
)

// estimator works out estimates from the slopes of a result.
type estimator struct {
	result *Result
	plan   plan
	out    []Estimate
}

func estimate(r Result) []Estimate {
	var all []Estimate
	for _, p := range aimedPlans() {
		e := &estimator{result: &r, plan: p}
		e.memory()
		e.heartbeats()
		e.logReads()
		e.grants()
		e.records()
		e.bundles()
		e.snapshots()
		if p.name == "cell" {
			e.share("decide_cpu", "decide_cpu_by_whole")
		}
		all = append(all, e.out...)
	}
	return append(all, estimateToday(&r)...)
}

// todayEntries is how many entries a system has today.
const todayEntries = 10

// estimateToday reads today's size off the lines, within the sizes that were measured.
func estimateToday(r *Result) []Estimate {
	e := &estimator{result: r, plan: plan{name: "today", entries: todayEntries}}
	e.share("decide_cpu", "decide_cpu_by_whole")
	e.share("carry_cpu", "wire_cpu_by_whole")
	bytes := e.slope("wire_bytes_by_whole")
	e.add("control_bytes", "KB a second of an entry", bytes.At(todayEntries)/1e3,
		"(%s + %s * %s) / 1000", bytes.Intercept, bytes.PerUnit, e.plan.entries)
	decide, carry := e.slope("decide_cpu_by_whole"), e.slope("wire_cpu_by_whole")
	limit := (coreLimit - decide.Intercept - carry.Intercept) / (decide.PerUnit + carry.PerUnit)
	e.add("core_limit", "entries", limit, "(%s - %s - %s) / (%s + %s)",
		coreLimit, decide.Intercept, carry.Intercept, decide.PerUnit, carry.PerUnit)
	return e.out
}

// coreLimit is the aimed share of a core for control, 4.7 %, in µs a second.
const coreLimit = 47000.0

// share adds the processor time of a slope in µs a second, at the plan's entries, as a share of a core.
func (e *estimator) share(name, slope string) {
	s := e.slope(slope)
	e.add(name, "% of a core of an entry", s.At(e.plan.entries)/microsOne*percent,
		"(%s + %s * %s) µs a second", s.Intercept, s.PerUnit, e.plan.entries)
}

func (e *estimator) slope(name string) Slope {
	s, _ := e.result.GetSlopeByName(name)
	return s
}

func (e *estimator) add(name, unit string, value float64, format string, args ...any) {
	text := make([]any, len(args))
	for i, a := range args {
		text[i] = a
		if v, ok := a.(float64); ok {
			text[i] = Figure(v)
		}
	}
	e.out = append(e.out, Estimate{
		Name:       e.plan.name + "_" + name,
		Unit:       unit,
		Value:      value,
		Arithmetic: fmt.Sprintf(format, text...),
	})
}

func (e *estimator) memory() {
	p := e.plan
	partition := e.slope("partition_memory").PerUnit
	server := e.slope("server_memory").PerUnit
	pin := e.slope("pin_memory").PerUnit
	member := e.slope("member_memory").PerUnit
	witness := e.slope("witness_memory").PerUnit
	table := partition*p.partitions + server*p.servers + pin*p.pins
	e.add("table_memory", "MB", table/mega, "%s * %s + %s * %s + %s * %s", partition, p.partitions, server, p.servers, pin, p.pins)
	roster := member*p.entries + witness*p.entries*p.entries
	e.add("roster_memory", "MB", roster/mega, "%s * %s + %s * %s^2", member, p.entries, witness, p.entries)
}

func (e *estimator) heartbeats() {
	p := e.plan
	heard := e.slope("exchange_by_heard_bytes")
	report := e.slope("exchange_by_reports_bytes").PerUnit
	load := e.slope("exchange_by_loads_bytes").PerUnit
	servers := p.servers / p.entries
	partitions := p.partitions / p.entries
	one := heard.At(p.entries-1) + report*servers + load*partitions
	e.add("exchange_bytes", "bytes", one, "%s + %s * %s + %s * %s + %s * %s",
		heard.Intercept, heard.PerUnit, p.entries-1, report, servers, load, partitions)
	e.add("heartbeat_bytes", "KB a second of an entry", 2*beatsASecond*(p.entries-1)*one/1e3,
		"2 ends * %s a second * %s peers * %s", float64(beatsASecond), p.entries-1, one)
	cpu := e.slope("exchange_by_heard_cpu")
	each := cpu.At(p.entries-1) + e.slope("exchange_by_loads_cpu").PerUnit*partitions
	e.add("heartbeat_cpu", "% of a core of an entry", beatsASecond*(p.entries-1)*each/microsOne*percent,
		"%s a second * %s peers * %s µs", float64(beatsASecond), p.entries-1, each)
}

func (e *estimator) logReads() {
	p := e.plan
	one := e.slope("log_read_by_none_bytes").Points[0].Y
	e.add("log_read_bytes", "KB a second of an entry", readsASecond*one/1e3, "%s a second * %s", float64(readsASecond), one)
	e.add("log_reads", "reads a second at the log", readsASecond*p.entries, "%s a second * %s entries", float64(readsASecond), p.entries)
}

func (e *estimator) grants() {
	p := e.plan
	grant := e.slope("grant_by_partitions_bytes")
	servers := p.servers / p.entries
	partitions := p.partitions / p.servers
	one := grant.At(partitions)
	e.add("grant_bytes", "KB a second of an entry", beatsASecond*servers*one/1e3,
		"%s a second * %s servers * (%s + %s * %s)", float64(beatsASecond), servers, grant.Intercept, grant.PerUnit, partitions)
	cpu := e.slope("grant_by_partitions_cpu").At(partitions)
	e.add("grant_cpu", "% of a core of an entry and a server", beatsASecond*servers*cpu/microsOne*percent,
		"%s a second * %s servers * %s µs", float64(beatsASecond), servers, cpu)
}

// records estimates what restarts and losses append, and what it costs every entry to fold and publish them.
func (e *estimator) records() {
	p := e.plan
	restart := e.slope("restart_records")
	loss := e.slope("entry_loss_records")
	each := (p.restarts*restart.At(p.entries) + p.losses*loss.At(p.entries)) / daySeconds
	e.add("roster_appends", "appends a second", each, "(%s * (%s + %s * %s) + %s * (%s + %s * %s)) / 86400",
		p.restarts, restart.Intercept, restart.PerUnit, p.entries, p.losses, loss.Intercept, loss.PerUnit, p.entries)
	publish := e.slope("publish_cpu").At(p.partitions)
	e.add("publish_time", "ms for one record", publish/1e3, "(%s + %s * %s) / 1000",
		e.slope("publish_cpu").Intercept, e.slope("publish_cpu").PerUnit, p.partitions)
	e.add("publish_cpu", "% of a core of an entry", each*publish/microsOne*percent, "%s a second * %s µs", each, publish)
}

func (e *estimator) bundles() {
	p := e.plan
	bytes := e.slope("bundle_bytes")
	one := bytes.At(p.servers)
	e.add("bundle_record_bytes", "MB", one/mega, "%s + %s * %s", bytes.Intercept, bytes.PerUnit, p.servers)
	e.add("bundle_read_bytes", "KB a second of an entry", p.bundles*one*logForm/daySeconds/1e3, "%s * %s * 4/3 / 86400", p.bundles, one)
	cpu := e.slope("bundle_fold_cpu")
	each := cpu.At(p.servers)
	e.add("bundle_fold_time", "ms for one bundle", each/1e3, "(%s + %s * %s) / 1000", cpu.Intercept, cpu.PerUnit, p.servers)
	e.add("bundle_cpu", "% of a core of an entry", p.bundles*each/microsOne/daySeconds*percent, "%s a day * %s µs / 86400 s", p.bundles, each)
}

func (e *estimator) snapshots() {
	p := e.plan
	bytes := e.slope("snapshot_bytes")
	one := bytes.At(p.partitions)
	e.add("snapshot_size", "MB", one/mega, "%s + %s * %s", bytes.Intercept, bytes.PerUnit, p.partitions)
	e.add("snapshot_read_bytes", "KB a second of an entry", one*logForm/snapshotSeconds/1e3, "%s * 4/3 / %s s", one, float64(snapshotSeconds))
	load := e.slope("snapshot_load_cpu")
	e.add("snapshot_load_time", "s", load.At(p.partitions)/microsOne, "(%s + %s * %s) / 10^6", load.Intercept, load.PerUnit, p.partitions)
}
