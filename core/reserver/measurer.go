package reserver

// Measurer derives the limit of bytes from the memory that lives in the process, so that what
// is not charged to any holder, such as remembered requests, is left out of it.
type Measurer struct {
	budget, base, least int64
	collections         uint64
	// highest is the most that was held since the latest collection of garbage.
	highest int64
}

// NewMeasurer returns a measurer. Of the budget in bytes, holders get what is left beside base
// or what is measured, whichever is more, and at least least.
func NewMeasurer(budget, base, least int64) *Measurer {
	return &Measurer{budget: budget, base: base, least: least}
}

// Bytes returns the limit before anything was measured.
func (me *Measurer) Bytes() int64 { return max(me.budget-me.base, me.least) }

// Sample returns a new limit, or false if there was no collection of garbage since the last
// sample. Live is what the latest collection, the number collections, left alive, and held
// what is held now. What was held in between counts as held at the collection: a request that
// has just ended then doesn't count as memory that isn't charged.
func (me *Measurer) Sample(collections uint64, live, held int64) (bytes int64, ok bool) {
	highest := max(me.highest, held)
	if collections == me.collections {
		me.highest = highest
		return 0, false
	}
	me.collections, me.highest = collections, held
	return max(me.budget-max(live-highest, me.base), me.least), true
}
