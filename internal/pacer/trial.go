package pacer

import (
	"math"
	"time"
)

const (
	// clearGain is how many times more answers fewer requests must make so that the limit is lowered. With 1.02, the limits of
	// servers that are three times slower for 400 ms at a time were lowered, and 0.896 instead of 0.981 of the requests were in time.
	clearGain = 1.3
	// chanceDeviations is how many standard errors the gain must exceed as well, because few answers differ by chance.
	chanceDeviations = 2
	// trialGain is the same for a trial. A server that is slow at any number of requests makes half as many answers with half of
	// them, so little more than as many shows a server that is too full.
	trialGain = 1.1
	// confirmDelay is the time after which the limit before a lower one is tried again. It is the end of most pauses.
	confirmDelay = 200 * time.Millisecond
	// returnShare is the part of as many answers as the limit has that are needed to return to it.
	returnShare = 0.75
	// maxLowerTrial bounds the time for which a lower limit is tried; the requests above it must end first.
	maxLowerTrial = 4 * time.Second
	// raiseTrialTimes bounds the time for which a higher limit is tried, in mean service times at the limit. A machine that slows
	// down 12-fold would otherwise be held in that state until the first answer.
	raiseTrialTimes = 3
	// minTrialInterval is the time between two trials. It doubles after each trial in vain up to maxRaiseInterval for a higher
	// limit, so that a server that recovers is followed within 5 s, and up to maxLowerInterval for a lower one.
	minTrialInterval = time.Second
	maxRaiseInterval = 3 * time.Second
	maxLowerInterval = 8 * time.Second
	// minPauseInterval and maxPauseInterval bound the time after a lower limit that was in vain because the server was slow for a
	// short time. It is likely to be so again.
	minPauseInterval = 10 * time.Second
	maxPauseInterval = time.Minute
	// slowdown is how many times longer than it was over baselineTime work must take so that a lower limit is tried. Trials at
	// full servers that are as fast as before would cost up to 17 % of the answers in time at a load of 1.
	slowdown     = 1.8
	baselineTime = 20 * time.Second
	// baselineAnswers is the number of answers after which the service time over baselineTime is known.
	baselineAnswers = 20
	// somewhatSlow and slowFor say how long the server must have been slow before that. Pauses of 400 ms
	// with one class under overload: 0.676 in time without this condition, 0.682 with it, 0.691 with fixed slots. With 600 ms it is
	// 0.685, but limits of servers that are slow by their load are learned up to 0.2 s later.
	somewhatSlow = 1.4
	slowFor      = 300 * time.Millisecond
	// latestWeight is the weight of a service time in the moving average that shows that the server is slow no longer.
	latestWeight = 0.25
	// limitValidity is how long a learned limit holds at a server that is not full.
	limitValidity = 5 * time.Second
	// maxLearnableTime is the greatest service time, weighted by itself, with which a limit is learned. With requests of 1 s
	// a trial lasts longer than the pauses of a machine, and holds back too much work.
	maxLearnableTime = 400 * time.Millisecond
	// longTimeAnswers is the number of answers from which their service time counts for maxLearnableTime.
	longTimeAnswers = 10
	// fullFor is how long after an answer at the limit the server counts as full. The limit of others is not tested.
	fullFor = 300 * time.Millisecond
)

// Advance ends a trial whose time is up. It is cheap, and must be called before Limit.
func (p *Pacer) Advance(now time.Time) {
	if p.trial > 0 && !now.Before(p.trialEnd) {
		p.judge(now)
	}
}

// update ends a trial whose result is known, and begins one that is due while the server is full. It is called after each service
// time, because nothing else changes the result.
func (p *Pacer) update(now time.Time) {
	if p.trial > 0 {
		p.judge(now)
		return
	}
	if !p.learnable(now) {
		return
	}
	if lower := p.clearlyBetter(now); lower > 0 {
		p.lower(now, lower)
		return
	}
	if now.Sub(p.fullAt) > fullFor || now.Before(p.nextTrial) {
		return
	}
	slow := p.overall.value > slowdown*p.baseline && p.latest > slowdown*p.baseline && now.Sub(p.slowSince) >= slowFor &&
		p.answers(now) >= baselineAnswers
	switch {
	case p.unconfirmed > p.limit:
		p.begin(now, p.unconfirmed)
	case p.limit > 1 && slow && !now.Before(p.nextLower):
		p.begin(now, (p.limit+1)/2)
	case p.limit < p.slots:
		p.begin(now, p.limit+1)
	}
}

// forgetOldLimit returns to the slots if the server is full again for the first time in limitValidity. What was learned about its
// limit before says little then.
func (p *Pacer) forgetOldLimit(now time.Time) {
	if p.limit < p.slots && p.trial == 0 && now.Sub(p.fullAt) > limitValidity {
		p.limit, p.unconfirmed = p.slots, 0
	}
}

// answers returns the number of answers over baselineTime.
func (p *Pacer) answers(now time.Time) float64 {
	total := 0.0
	for n := range p.longer {
		total += p.longer[n].answers * p.longer[n].keptAt(now, baselineTime)
	}
	return total
}

// learnable reports whether requests are short enough to learn a limit from their answers, at a number of requests with a
// good part of the answers.
func (p *Pacer) learnable(now time.Time) bool {
	total := p.answers(now)
	for n := range p.longer {
		e := &p.longer[n]
		answers := e.answers * e.keptAt(now, baselineTime)
		if answers >= max(longTimeAnswers, total/4) && e.longestTime() <= maxLearnableTime.Seconds() {
			return true
		}
	}
	return false
}

// clearlyBetter returns the number of requests below the limit with which the server has lately done clearly more work than at
// the limit, beyond what chance explains, and most of all; 0 if there is none.
func (p *Pacer) clearlyBetter(now time.Time) int {
	present, presentVariance, known := p.recent[p.limit-1].rate(now, p.limit)
	if !known {
		return 0
	}
	best, bestRate := 0, clearGain*present
	for n := 1; n < p.limit; n++ {
		rate, variance, known := p.recent[n-1].rate(now, n)
		if known && rate > bestRate && math.Log(rate/present) > chanceDeviations*math.Sqrt(variance+presentVariance) {
			best, bestRate = n, rate
		}
	}
	return best
}

// lower lowers the limit. The one before it is tried again at once, to find out whether the server was slow by its load or for
// a short time only.
func (p *Pacer) lower(now time.Time, limit int) {
	p.unconfirmed, p.limit = max(p.limit, p.unconfirmed), limit
	p.raiseInterval = minTrialInterval
	p.end(now, confirmDelay)
}

// begin begins the trial of a limit.
func (p *Pacer) begin(now time.Time, limit int) {
	p.trial, p.trialStart, p.tried = limit, now, mean{}
	p.trialEnd = now.Add(maxLowerTrial)
	if limit > p.limit {
		took := p.took
		if e := &p.recent[p.limit-1]; e.answers > 0 {
			took = e.took / e.answers
		}
		p.trialEnd = now.Add(time.Duration(raiseTrialTimes * took * float64(time.Second)))
	}
	p.present = float64(p.limit) / p.overall.value
	if m := &p.paces[p.limit-1]; m.weightAt(now) >= minWeight {
		p.present = float64(p.limit) / m.value
	}
}

// judge ends the present trial if its result is known: a higher limit is kept if it makes more answers, a lower one if it makes
// clearly more. Only requests that began during the trial count, because others ran beside more.
func (p *Pacer) judge(now time.Time) {
	tried := float64(p.trial) / p.tried.value // +Inf before the first request
	if p.tried.weightAt(now) < p.enoughWeight() && (p.trial < p.limit || clearGain*tried > p.present) {
		switch {
		case now.Before(p.trialEnd):
		case p.trial > p.limit:
			p.rejectRaise(now)
		default:
			p.end(now, minTrialInterval)
		}
		return
	}
	switch {
	case p.trial > p.limit && tried >= p.present*p.raiseGain():
		if p.trial == p.unconfirmed { // lowered in vain
			p.nextLower = now.Add(p.pauseInterval)
			p.pauseInterval = min(2*p.pauseInterval, maxPauseInterval)
		}
		p.limit, p.raiseInterval, p.unconfirmed = p.trial, minTrialInterval, 0
		p.end(now, 0)
	case p.trial > p.limit:
		p.rejectRaise(now)
	case tried > trialGain*p.present:
		p.lower(now, p.trial)
	default:
		p.delayLower(now)
		p.end(now, 0)
	}
}

// enoughWeight returns the weight of service times from which the result of a trial is known. The first requests to end in the
// trial of a much higher limit are the short ones.
func (p *Pacer) enoughWeight() float64 {
	if p.trial == p.unconfirmed {
		return max(minWeight, returnShare*float64(p.trial))
	}
	return minWeight
}

// raiseGain returns how many times as many answers a trial of a higher limit must make so that it is kept. A server that was
// slow for a short time makes as many more answers as the limit is higher, one that is slow by its load makes fewer.
func (p *Pacer) raiseGain() float64 {
	if p.trial == p.unconfirmed {
		return math.Sqrt(float64(p.trial) / float64(p.limit))
	}
	return 1
}

// rejectRaise ends the trial of a higher limit that made no more answers.
func (p *Pacer) rejectRaise(now time.Time) {
	if p.trial == p.unconfirmed {
		p.unconfirmed, p.lowerInterval = 0, minTrialInterval
	}
	p.raiseInterval = min(2*p.raiseInterval, maxRaiseInterval)
	p.end(now, p.raiseInterval)
}

// delayLower puts off the next trial of a lower limit, because one was in vain.
func (p *Pacer) delayLower(now time.Time) {
	p.nextLower = now.Add(p.lowerInterval)
	p.lowerInterval = min(2*p.lowerInterval, maxLowerInterval)
}

// end ends the present trial. The next one begins after a delay.
func (p *Pacer) end(now time.Time, delay time.Duration) {
	p.trial, p.nextTrial = 0, now.Add(delay)
}
