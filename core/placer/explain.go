package placer

// Explanation describes which member owns a key and since when.
type Explanation struct {
	Service    string
	Key        string
	Partition  uint32
	MapVersion uint64
	// HasOwner is false if no member has a weight above 0. Owner and Next are empty
	// then.
	HasOwner bool
	Owner    Member
	// Next lists the members that would own the partition after Owner, in order.
	Next []Member
	// WeightedMembers is the number of members with a weight above 0.
	WeightedMembers int
	// SinceVersion is the map version that made Owner the owner, and SinceAt the
	// time of its commit in milliseconds since 1970. Both are 0 if Owner already
	// owned the partition at the settled version.
	SinceVersion uint64
	SinceAt      int64
}

// explainedSuccessors is the maximum length of Explanation.Next.
const explainedSuccessors = 2

// Explain returns the owner of a key of the table's service, with the members next
// in line.
func (tb *Table) Explain(key string) Explanation {
	pt := tb.Partition(key)
	ex := Explanation{Service: tb.Map.Service, Key: key, Partition: pt, MapVersion: tb.Map.Version}
	for _, me := range tb.Map.Members {
		if me.Weight > 0 {
			ex.WeightedMembers++
		}
	}
	order := tb.PreferenceList(pt, 1+explainedSuccessors)
	if len(order) == 0 {
		return ex
	}
	ex.HasOwner = true
	ex.Owner = order[0]
	ex.Next = order[1:]
	ex.SinceVersion, ex.SinceAt = tb.since(pt, ex.Owner)
	return ex
}

// since returns the version that made the member owner of the partition and the
// time of its commit, or 0 and 0 if it is older than all generations on record.
func (tb *Table) since(pt uint32, owner Member) (uint64, int64) {
	oh := tb.ownerHistory()
	owners := oh.ownersOf(pt)
	for i := 1; i < len(owners); i++ {
		index := owners[i]
		if index < 0 || oh.gens[i].Members[index].Incarnation != owner.Incarnation {
			version := oh.gens[i-1].Version
			return version, tb.Map.committedAt(version)
		}
	}
	return 0, 0
}

// committedAt returns when a version was committed, in milliseconds since 1970, or
// 0 if the version is not on record.
func (ma Map) committedAt(version uint64) int64 {
	for _, ch := range ma.Changes {
		if ch.Version == version {
			return ch.At
		}
	}
	return 0
}
