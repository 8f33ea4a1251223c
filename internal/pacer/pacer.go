// Package pacer estimates how much load a backend server handles well: the number of concurrent requests beyond which more
// requests make answers later without making more of them. It learns from the service times that requests show while different
// numbers of them run, and tries other numbers for short times while the server is full. It is pure: the present time is an
// argument.
package pacer

import (
	"math"
	"time"
)

const (
	// recordTime is the time constant with which service times lose weight. A server of 6 slots ends some 8 to 24 requests a
	// second, so that a change shows in most of the weight within 2 s.
	recordTime = time.Second
	// newestWeight is the least weight of a new service time in the mean at its number of requests.
	newestWeight = 0.15
	// minWeight is the weight of service times from which a mean says something about the server.
	minWeight = 3
	// workWeight is the weight of a request in the mean work of requests. minShare and maxShare bound the work of one relative to it.
	workWeight         = 0.05
	minShare, maxShare = 0.1, 4
	// maxRatio bounds the service times, so that one request that waited for a lock or a restart does not outweigh the others.
	maxRatio = 20
)

// Pacer is the estimate of one incarnation of a server. As long as it has no measurement, the slots of SetSlots are the limit.
type Pacer struct {
	slots     int
	means     []mean     // by the number of requests running, the measured one included, less one
	paces     []mean     // likewise, weighted by work
	recent    []evidence // likewise, over recordTime
	longer    []evidence // likewise, over baselineTime
	overall   mean
	latest    float64   // like overall, with a greater weight of the latest service times
	slowSince time.Time // when service times were last close to the baseline
	baseline  float64   // slow moving average of service times
	work      float64   // moving average of the work of requests, in seconds
	took      float64   // moving average of service times in seconds
	report    report
	limit     int
	fullAt    time.Time // when a request ended while as many ran as the limit allows

	unconfirmed                  int // the limit before a lower one that has not been confirmed, or 0
	trial                        int // the limit that is being tried, or 0
	trialStart, trialEnd         time.Time
	present                      float64 // rate at the limit when the trial began
	tried                        mean    // of the requests that began during the present trial
	nextTrial, nextLower         time.Time
	raiseInterval, lowerInterval time.Duration
	pauseInterval                time.Duration
}

// mean is a moving average of service times relative to those of their class.
type mean struct {
	value, weight float64
	work          float64   // weight of the service times, each by its share of the work
	at            time.Time // of the latest one
}

// add adds a service time, whose request was a share of the usual work of one.
func (m *mean) add(now time.Time, ratio, share float64) {
	kept := m.keptAt(now)
	m.weight = m.weight*kept + 1
	m.work = m.work*kept + share
	m.value += (ratio - m.value) * max(share/m.work, min(1, share*newestWeight))
	m.at = now
}

// weightAt returns the weight that the service times have at a given time.
func (m *mean) weightAt(now time.Time) float64 { return m.weight * m.keptAt(now) }

// keptAt returns the part of their weight that the service times still have at a given time.
func (m *mean) keptAt(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(m.at).Seconds()) / recordTime.Seconds())
}

// SetSlots sets the slots of the server. Other slots than before end what was learned about the limit.
func (p *Pacer) SetSlots(now time.Time, slots int) {
	if slots == p.slots {
		return
	}
	p.slots, p.limit, p.trial, p.unconfirmed = slots, slots, 0, 0
	p.means, p.paces = make([]mean, slots), make([]mean, slots)
	p.recent, p.longer = make([]evidence, slots), make([]evidence, slots)
	p.raiseInterval, p.lowerInterval, p.pauseInterval = minTrialInterval, minTrialInterval, minPauseInterval
	p.nextTrial = now.Add(minTrialInterval)
}

// Record counts the service time of a request, relative to the mean of its class, that began at a given time and ended while a
// number of requests ran at the server, itself included.
func (p *Pacer) Record(now, began time.Time, running int, ratio float64) {
	if running < 1 || running > p.slots || !(ratio > 0) {
		return
	}
	took := now.Sub(began).Seconds()
	work := took / ratio
	ratio = min(ratio, maxRatio)
	share := p.share(work)
	p.means[running-1].add(now, ratio, 1)
	p.paces[running-1].add(now, ratio, share)
	if work > 0 {
		p.recent[running-1].add(now, recordTime, work, work*ratio)
		p.longer[running-1].add(now, baselineTime, work, min(work, took))
	}
	p.updateBaseline(now, ratio)
	p.overall.add(now, ratio, 1)
	p.latest += (ratio - p.latest) * latestWeight
	if p.overall.value <= somewhatSlow*p.baseline {
		p.slowSince = now
	}
	p.took += (took - p.took) * max(1/p.overall.weight, newestWeight)
	if p.trial > 0 && !began.Before(p.trialStart) && (p.trial < p.limit || running > p.limit) {
		p.tried.add(now, ratio, share)
	}
	if running >= p.Limit() {
		p.forgetOldLimit(now)
		p.fullAt = now
	}
	p.update(now)
}

// share returns the work of a request relative to the mean of the server's requests, so that a long one counts as much as the
// short ones of the same work.
func (p *Pacer) share(work float64) float64 {
	if p.work == 0 {
		p.work = work
	}
	if !(p.work > 0) {
		return 1
	}
	p.work += (work - p.work) * workWeight
	return min(max(work/p.work, minShare), maxShare)
}

// updateBaseline moves the baseline towards a service time by the part of baselineTime that has passed since the latest one.
func (p *Pacer) updateBaseline(now time.Time, ratio float64) {
	if p.baseline == 0 {
		p.baseline = ratio
		return
	}
	p.baseline += (min(ratio, 2*p.baseline) - p.baseline) * min(newestWeight, now.Sub(p.overall.at).Seconds()/baselineTime.Seconds())
}

// Learned returns the limit that the server has shown, without a present trial of another one.
func (p *Pacer) Learned() int { return p.limit }

// Confirmed returns the limit that the server has shown, or the one before it until it is clear that the server was not slow for
// a short time only.
func (p *Pacer) Confirmed() int { return max(p.limit, p.unconfirmed) }

// Limit returns how many requests should run at the server now.
func (p *Pacer) Limit() int {
	if p.trial > 0 {
		return p.trial
	}
	return p.limit
}

// Ratio returns the expected service time of a request that begins as one of a number of them, relative to the mean of its class.
// The older the measurements, the more a recent report of the server counts; without one, the ratio comes near to 1.
func (p *Pacer) Ratio(now time.Time, running int) float64 {
	m := &p.overall
	if i := running - 1; i >= 0 && i < len(p.means) && p.means[i].weightAt(now) >= minWeight {
		m = &p.means[i]
	}
	weight := m.weightAt(now)
	return (m.value*weight + p.report.expected(now)) / (weight + 1)
}

// Cost returns how costly it is to send another request to the server while a number of requests of this instance run there. It
// grows with the expected time to answer and with the part of the limit that is in use, so that no server is filled to its
// limit while others are idle.
func (p *Pacer) Cost(now time.Time, running int) float64 {
	return (float64(running) + 1 + p.Others(now)) / float64(max(1, p.Limit())) * p.Ratio(now, running+1)
}
