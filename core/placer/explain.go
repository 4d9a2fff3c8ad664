package placer

// Explanation tells who owns a key and why.
type Explanation struct {
	Service    string
	Key        string
	Partition  uint32
	MapVersion uint64
	HasOwner   bool
	Owner      Member
	// Next are the members that would own the partition after Owner.
	Next []Member
	// WeightedMembers counts those with a weight.
	WeightedMembers int
	// SinceVersion is the map version that made Owner the owner, and SinceAt
	// its wall clock in milliseconds since 1970. Both are 0 if that lies
	// before the settled version.
	SinceVersion uint64
	SinceAt      int64
}

const explainedNext = 2

// Explain tells who owns a key of the table's service and why.
func (tb *Table) Explain(key string) Explanation {
	pt := tb.Partition(key)
	ex := Explanation{Service: tb.Map.Service, Key: key, Partition: pt, MapVersion: tb.Map.Version}
	for _, me := range tb.Map.Members {
		if me.Weight > 0 {
			ex.WeightedMembers++
		}
	}
	order := tb.PreferenceList(pt, 1+explainedNext)
	if len(order) == 0 {
		return ex
	}
	ex.HasOwner = true
	ex.Owner = order[0]
	ex.Next = order[1:]
	ex.SinceVersion, ex.SinceAt = tb.since(pt, ex.Owner)
	return ex
}

// since walks back through the generations to the one that made the member
// owner.
func (tb *Table) since(pt uint32, owner Member) (uint64, int64) {
	li := tb.lineage()
	owners := li.ownersOf(pt)
	for i := 1; i < len(owners); i++ {
		index := owners[i]
		if index < 0 || li.gens[i].Members[index].Incarnation != owner.Incarnation {
			version := li.gens[i-1].Version
			return version, tb.Map.committedAt(version)
		}
	}
	return 0, 0
}

// committedAt returns the wall clock of a version on record, or 0.
func (ma Map) committedAt(version uint64) int64 {
	for _, ch := range ma.Changes {
		if ch.Version == version {
			return ch.At
		}
	}
	return 0
}
