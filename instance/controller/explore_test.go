package controller

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/port/tabler"
	"github.com/hashicorp/go-hclog"
)

// explorer plays steps of several instances on one table that comes back from older copies,
// without network or clock. It calls what the control loop calls.
type explorer struct {
	t         *testing.T
	random    *rand.Rand
	table     *eraTable
	ts        tableStore
	copies    []map[string]tabler.Row
	instances []*exploredInstance
	latest    uint64 // incarnation
	// seen holds each map that was ever stored or held, by service and version.
	seen map[string]placer.Map
	// highest is the highest version of a map that any instance has held, by service.
	highest map[string]uint64
	// acknowledged holds the announced ends of servers that were acknowledged and that an
	// instance in force or the table still knows.
	acknowledged map[announcedEnd]bool
	// ends counts the announced ends by server. No more than the bound are remembered.
	ends  map[string]int
	steps []string
}

// announcedEnd is the end of a run of the server beside an instance.
type announcedEnd struct {
	name string
	run  registrar.ServerRun
}

type exploredInstance struct {
	name        string
	incarnation uint64
	row         leaser.Row
	weight      uint32
	leaving     []registrar.ServerRun
	held        map[string]placer.Map
	// rowEra is that of row, and foldedEra the one in which the instance last stored again
	// what it knows of the maps.
	rowEra, foldedEra uint64
}

func newExplorer(t *testing.T, seed uint64, instances int) *explorer {
	ex := &explorer{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), table: &eraTable{fakeTable: newFakeTable(), era: 1},
		steps: []string{fmt.Sprintf("seed %d", seed)},
		seen:  map[string]placer.Map{}, highest: map[string]uint64{}, acknowledged: map[announcedEnd]bool{}, ends: map[string]int{},
	}
	ex.ts = tableStore{table: ex.table, externalConfig: func() cataloguer.Config { return counterConfig(number(1, 1)) }, lo: hclog.NewNullLogger()}
	for i := range instances {
		in := &exploredInstance{name: name(uint64(i + 1))}
		ex.instances = append(ex.instances, in)
		ex.start(in)
		ex.settle()
		ex.copies = append(ex.copies, ex.table.copy())
	}
	return ex
}

func (ex *explorer) failf(format string, args ...any) {
	ex.t.Helper()
	ex.t.Fatalf("%s\nafter %v", fmt.Sprintf(format, args...), ex.steps)
}

func (ex *explorer) rowOf(in *exploredInstance) folder.InstanceRow {
	ir := rowOf(in.incarnation, in.row.Version)
	ir.BackendServer, ir.Weight, ir.Leaving = in.name, in.weight, in.leaving
	return ir
}

// start starts another incarnation of an instance in place of the former one, which knows
// what its row and the maps in the table say.
func (ex *explorer) start(in *exploredInstance) {
	ex.latest++
	former, err := ex.ts.readRow(ex.t.Context(), in.name)
	if err != nil {
		ex.failf("%s: %v", in.name, err)
	}
	*in = exploredInstance{name: in.name, incarnation: ex.latest, weight: placer.FullWeight, leaving: former.Leaving, held: map[string]placer.Map{}}
	in.row.Version = former.Lease.Version
	found, err := ex.ts.writeRow(ex.t.Context(), ex.rowOf(in))
	if err != nil {
		ex.failf("%s: %v", in.name, err)
	}
	in.row, in.rowEra = found.Lease, sequencer.Era(found.Lease.Version)
	docs, err := ex.ts.readMaps(ex.t.Context())
	if err != nil {
		ex.failf("%s: %v", in.name, err)
	}
	ex.learn(in, docs)
}

// learn applies maps to an instance as Controller.onDocuments does.
func (ex *explorer) learn(in *exploredInstance, docs []Document) {
	for _, do := range docs {
		ma, err := do.toMap()
		if err != nil {
			continue // another document
		}
		ex.hold(in, ma)
	}
}

func (ex *explorer) hold(in *exploredInstance, ma placer.Map) {
	key := ma.Service + "@" + placer.FormatVersion(ma.Version)
	if former, ok := ex.seen[key]; ok && !former.IsSame(ma) {
		ex.failf("two maps %s: %v, %v", key, former, ma)
	}
	if _, ok := ex.seen[key]; !ok {
		ex.seen[key] = ma
		ex.checkDescent(ma)
	}
	if ma.Version <= in.held[ma.Service].Version {
		return
	}
	in.held[ma.Service] = ma
	if ma.Era() < ex.table.era {
		in.foldedEra = 0 // see restoreIfLost
	}
	ex.highest[ma.Service] = max(ex.highest[ma.Service], ma.Version)
	me, ok := ma.Member(in.name)
	if !ok || ma.Service == folder.LimitsService {
		return
	}
	for _, ru := range registrar.ParseRuns(me.Leaving) {
		if !registrar.HasLeft(in.leaving, ru) {
			in.leaving = append(in.leaving, ru) // see recallLeaving
		}
	}
}

// checkDescent checks that a new map names the changes since the one in force: an owner hands its
// keys over only if it finds itself among the former ones. No live instance is removed.
func (ex *explorer) checkDescent(ma placer.Map) {
	var inForce placer.Map
	for _, in := range ex.instances {
		if held := in.held[ma.Service]; held.Version > inForce.Version {
			inForce = held
		}
	}
	if inForce.Version == 0 || ma.Version <= inForce.Version {
		return
	}
	for _, gen := range ma.Generations() {
		if gen.Version <= inForce.Version {
			if !slices.Equal(gen.Members, inForce.Members) {
				ex.failf("%s@%s does not follow from %s: %v, %v", ma.Service, placer.FormatVersion(ma.Version), placer.FormatVersion(inForce.Version), gen.Members, inForce.Members)
			}
			break
		}
	}
	for _, in := range ex.instances {
		_, wasMember := inForce.ByIncarnation(in.incarnation)
		if _, isMember := ma.ByIncarnation(in.incarnation); wasMember && !isMember {
			ex.failf("%s is no longer a member of %s@%s", in.name, ma.Service, placer.FormatVersion(ma.Version))
		}
	}
}

func (ex *explorer) writeRow(in *exploredInstance) {
	if in.rowEra < ex.table.era {
		return // see isRowLost
	}
	found, err := ex.ts.writeRow(ex.t.Context(), ex.rowOf(in))
	if err != nil {
		ex.failf("%s: %v", in.name, err)
	}
	in.row = found.Lease
}

func (ex *explorer) restoreRow(in *exploredInstance) {
	if in.rowEra == ex.table.era {
		return
	}
	found, err := ex.ts.restoreRow(ex.t.Context(), ex.rowOf(in), ex.table.era)
	if err != nil || isReplacedOrEnded(found, in.incarnation) {
		ex.failf("%s: restored row is %v: %v", in.name, found, err)
	}
	in.row, in.rowEra = found.Lease, ex.table.era
}

func (ex *explorer) fold(in *exploredInstance, startsEra bool) {
	docs, _, err := ex.ts.foldOnce(ex.t.Context(), foldBasis{maps: in.held, startsEra: startsEra})
	if err != nil && !errors.Is(err, errEraUnsettled) {
		ex.failf("%s: fold: %v", in.name, err)
	}
	in.foldedEra = ex.table.era
	ex.learn(in, docs)
}

// mayStartEra reports whether all others that hold maps have stored them again, for which the
// delays of followEra leave time.
func (ex *explorer) mayStartEra(in *exploredInstance) bool {
	for _, other := range ex.instances {
		if other != in && len(other.held) > 0 && other.foldedEra < ex.table.era {
			return false
		}
	}
	return true
}

func (ex *explorer) fetch(in, from *exploredInstance) {
	for _, ma := range from.held {
		ex.hold(in, ma)
	}
}

// acknowledge records which announced ends may be acknowledged: the row lists them, and so does
// a map that another instance has.
func (ex *explorer) acknowledge() {
	for _, in := range ex.instances {
		for _, ru := range in.leaving {
			if in.rowEra == ex.table.era && ex.isListed(in.name, ru, in) {
				ex.acknowledged[announcedEnd{in.name, ru}] = true
			}
		}
	}
}

// forgetUnknown drops the acknowledged ends that no instance knows any more, after a restart.
func (ex *explorer) forgetUnknown() {
	for ae := range ex.acknowledged {
		if !ex.isListed(ae.name, ae.run, nil) {
			delete(ex.acknowledged, ae)
		}
	}
}

// isListed reports whether a map that any other instance has lists a run of a server.
func (ex *explorer) isListed(server string, ru registrar.ServerRun, besides *exploredInstance) bool {
	return slices.ContainsFunc(ex.instances, func(in *exploredInstance) bool {
		me, _ := in.held["counter"].Member(server)
		return in != besides && slices.Contains(registrar.ParseRuns(me.Leaving), ru)
	})
}

// step plays one random step.
func (ex *explorer) step() {
	in := ex.instances[ex.random.IntN(len(ex.instances))]
	other := ex.instances[ex.random.IntN(len(ex.instances))]
	kind := ex.random.IntN(16)
	ex.steps = append(ex.steps, fmt.Sprintf("%d %s %s era %d", kind, in.name, other.name, ex.table.era))
	switch {
	case kind < 3:
		in.weight = placer.FullWeight - in.weight
		ex.writeRow(in)
	case kind < 4:
		if ex.ends[in.name] < registrar.MaxNotices {
			ex.ends[in.name]++
			in.leaving = append(in.leaving, registrar.ServerRun{ID: in.name, StartedAt: int64(len(ex.steps))})
		}
		ex.writeRow(in)
	case kind < 6:
		ex.restoreRow(in)
	case kind < 10:
		// The first fold of an instance that knows no map waits, see WithFirstFoldDelay.
		if startsEra := ex.mayStartEra(in); startsEra || len(in.held) > 0 {
			ex.fold(in, startsEra)
		}
	case kind < 13:
		ex.fetch(in, other)
	case kind < 14:
		ex.start(in)
		ex.forgetUnknown()
	default:
		at := max(0, len(ex.copies)-1-ex.random.IntN(6))
		if len(ex.copies) > 0 {
			ex.table.restore(ex.copies[at])
			ex.copies = ex.copies[:at]
		}
	}
	ex.copies = append(ex.copies, ex.table.copy())
	ex.acknowledge()
}

// settle lets every instance do what it does within seconds of the table's return.
func (ex *explorer) settle() {
	for _, startsEra := range []bool{false, false, true, true, true} {
		for _, in := range ex.instances {
			ex.restoreRow(in)
			ex.writeRow(in)
			ex.fold(in, startsEra)
			for _, other := range ex.instances {
				ex.fetch(other, in)
			}
		}
	}
}

// check checks a settled fleet: all instances hold the same maps, which say what the rows say, no
// map and so no fencing token is below one that was ever held, and no acknowledged end is lost.
func (ex *explorer) check() {
	for _, in := range ex.instances {
		for service, highest := range ex.highest {
			ma := in.held[service]
			if ma.Version < highest || !ma.IsSame(ex.instances[0].held[service]) {
				ex.failf("%s holds %s@%s, %s was held", in.name, service, placer.FormatVersion(ma.Version), placer.FormatVersion(highest))
			}
			me, ok := ma.ByIncarnation(in.incarnation)
			if !ok || me.Weight != folder.PermittedWeight(service, ex.rowOf(in), counterConfig(1), nil) {
				ex.failf("%s: its member of %s is %v, weight of the row %d", in.name, service, me, in.weight)
			}
			if service != folder.LimitsService && !listsRuns(me, in.leaving) {
				ex.failf("%s: its member lists %q of %v", in.name, me.Leaving, in.leaving)
			}
		}
		for ae := range ex.acknowledged {
			if ae.name == in.name && !slices.Contains(in.leaving, ae.run) {
				ex.failf("%s: the acknowledged end of %v is lost", in.name, ae.run)
			}
		}
	}
}

// TestExploreRestoredTable guards against two owners of a key, tokens that fall and lost
// announcements after any series of writes, restarts and returns of the table from older copies.
func TestExploreRestoredTable(t *testing.T) {
	for seed := range uint64(300) {
		ex := newExplorer(t, seed, 2+int(seed%3))
		for range 3 {
			for range 12 {
				ex.step()
			}
			ex.settle()
			ex.acknowledge()
			ex.check()
		}
	}
}
