package granter

// StorePlanAgain records that the store has lost the plan.
func (g *Granter) StorePlanAgain() {
	g.storedSequence, g.maybeStoredSequence = 0, 0
	g.planSequence++
}

// UnstoredPlan returns the sequence number of the current plan, and whether it is not stored yet.
func (g *Granter) UnstoredPlan() (sequence uint64, unstored bool) {
	return max(g.planSequence, g.storedSequence), g.planSequence > g.storedSequence
}

// Plan returns the plan to store and its sequence number. If the current plan is stored already, unstored is false and
// there are no assignments. A range that is being released is recorded with its present owner, which may still have a lease.
func (g *Granter) Plan() (assignments []Assignment, sequence uint64, unstored bool) {
	sequence, unstored = g.UnstoredPlan()
	if !unstored {
		return nil, sequence, false
	}
	ranges := g.sortedRanges()
	assignments = make([]Assignment, 0, len(ranges))
	for _, o := range ranges {
		assignment := o.Assignment
		if o.state == free {
			assignment.Server = ""
		}
		assignments = append(assignments, assignment)
	}
	return assignments, sequence, true
}

// SetStoredPlans records the sequence numbers of the newest plan that is known to be in the store, and of the newest one
// that may be there: no plan after maybeStored is in the store or can get there unless it is sent again.
func (g *Granter) SetStoredPlans(sequence, maybeStored uint64) {
	g.storedSequence = max(g.storedSequence, sequence)
	g.maybeStoredSequence = max(g.storedSequence, maybeStored) // unlike storedSequence, it may fall
}
