package elector

// RecordSole records that no leader before this one can send orders any more. The leader's record says so from the next append on,
// which is due once no plan waits to be stored. It changes nothing while leaders of earlier eras of the store may act.
func (e *Elector) RecordSole() {
	if e.term != 0 && EraOf(e.term) == e.era && e.certain && !e.sole {
		e.sole = true
	}
}

// soleFromStart reports whether no earlier leader can send orders when this instance replaces the record previous in the store:
// there was none, or it was an earlier incarnation of this instance and Sole itself.
func (e *Elector) soleFromStart(previous Leader) bool {
	if !e.followsSettledPlan(previous) {
		return false // leaders of earlier eras may act
	}
	return previous.Term == 0 || previous.Sole && previous.Identity.Instance == e.self.Instance
}

// earlierLeadersMayAct reports whether leaders before predecessor may still send orders, except for those that Certain is about.
func (e *Elector) earlierLeadersMayAct(predecessor Identity) bool {
	if !e.certain && EraOf(e.replaced.Term) != e.era {
		return false // all earlier leaders are of earlier eras
	}
	return predecessor != e.replaced.Identity || e.replaced.Term != 0 && !e.replaced.Sole
}
