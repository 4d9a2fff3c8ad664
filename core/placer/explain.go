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
	// Members counts those with a weight.
	Members int
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
			ex.Members++
		}
	}
	order := tb.Order(pt, 1+explainedNext)
	if len(order) == 0 {
		return ex
	}
	ex.HasOwner = true
	ex.Owner = order[0]
	ex.Next = order[1:]
	ex.SinceVersion, ex.SinceAt = tb.since(pt, ex.Owner)
	return ex
}

// since walks back through the changes to the one that made the member owner.
func (tb *Table) since(pt uint32, owner Member) (uint64, int64) {
	current := append([]Member(nil), tb.Map.Members...)
	for i := len(tb.Map.Changes) - 1; i >= 0; i-- {
		ch := tb.Map.Changes[i]
		current = undo(current, ch)
		isInsideVersion := i > 0 && tb.Map.Changes[i-1].Version == ch.Version
		if isInsideVersion {
			continue
		}
		index := best(seedsOf(current), pt)
		if index < 0 || current[index].Incarnation != owner.Incarnation {
			return ch.Version, ch.At
		}
	}
	return 0, 0
}
