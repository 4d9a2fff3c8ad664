package estimator

import (
	"fmt"
	"io"
	"runtime"
	"testing"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/balancer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/limiter"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/encoder"
	"cornellanding.example/wire/peerproto"
	"cornellanding.example/wire/signer"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
)

// Measurement is the cost of one operation or the size of one structure.
type Measurement struct {
	Name string
	// Value is in Unit, which is "ns" per operation or "bytes".
	Value       float64
	Unit        string
	Allocations int64
}

func benchmark(name string, run func(b *testing.B)) Measurement {
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		run(b)
	})
	return Measurement{Name: name, Value: float64(result.NsPerOp()), Unit: "ns", Allocations: result.AllocsPerOp()}
}

// MeasureComponents measures the operations and sizes that docs/CAPACITY.md
// uses, at the design size.
func MeasureComponents() ([]Measurement, error) {
	rows := Rows(Members, 0, "10.0.0.1:7001")
	maps := map[string]placer.Map{}
	for _, ma := range folder.Fold(folder.Input{Rows: rows, Config: Config()}) {
		maps[ma.Service] = ma.WithSettled(ma.Version)
	}
	var measurements []Measurement
	measurements = append(measurements, routing(maps)...)
	measurements = append(measurements, control(maps)...)
	sizes, err := sizes(maps)
	return append(measurements, sizes...), err
}

func routing(maps map[string]placer.Map) []Measurement {
	tb := placer.NewTable(maps["service-0"])
	pu := publisher.New(timer.BootClock{}, publisher.Self{})
	pu.Publish(publisher.NewView(Config(), map[string]*placer.Table{"service-0": tb}))
	ga, _ := admitter.New(admitter.Slots(9), admitter.QueueLength(64))
	share := limiter.NewShare(1)
	ba := balancer.New()
	ba.SetMembers([]uint64{1, 2, 3, 4})
	lo := hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: io.Discard})
	return []Measurement{
		benchmark("owner of a key at 16,384 partitions", func(b *testing.B) {
			for range b.N {
				table := pu.View().Tables["service-0"]
				table.Owner(table.Partition("order-17"))
			}
		}),
		benchmark("admission and end at the gate", func(b *testing.B) {
			rq := admitter.Request{Workspace: "w", DeadlineAt: 1 << 60}
			for range b.N {
				ga.Arrive(rq, 0)
				ga.Finish(admitter.Completion{}, 0)
			}
		}),
		benchmark("token of a share", func(b *testing.B) {
			for i := range b.N {
				if !share.Take(timer.Instant(i)) {
					ask := share.NewRequest(timer.Instant(i))
					share.Receive(ask, limiter.Grant{Tokens: 1e6}, timer.Instant(i))
				}
			}
		}),
		benchmark("choice among 4 shared servers", func(b *testing.B) {
			for i := range b.N {
				chosen, _ := ba.Choose(uint64(i)*0x9e3779b97f4a7c15, nil)
				ba.Start(chosen)
				ba.Finish(chosen, timer.Millisecond, false)
			}
		}),
		benchmark("boot clock", func(b *testing.B) {
			for range b.N {
				timer.BootClock{}.Now()
			}
		}),
		benchmark("log line", func(b *testing.B) {
			for range b.N {
				lo.Info("request answered", "requestId", "0011223344556677", "route", "placeorder", "workspace", "olinda",
					"backendServer", "ordering-1", "status", 200, "attempts", 1)
			}
		}),
	}
}

func control(maps map[string]placer.Map) []Measurement {
	si, _ := signer.New([]byte("0123456789abcdef"))
	renewal := &peerproto.Datagram{From: 1 << 62, To: 1 << 31, RenewalSentAt: 1 << 34, Documents: 1 << 31}
	var measurements []Measurement
	measurements = append(measurements, benchmark("datagram encoded and sealed", func(b *testing.B) {
		for range b.N {
			packet, _ := proto.Marshal(renewal)
			si.Seal(packet)
		}
	}))
	packet, _ := proto.Marshal(renewal)
	packet = si.Seal(packet)
	measurements = append(measurements, benchmark("datagram opened and decoded", func(b *testing.B) {
		for range b.N {
			payload, _ := si.Open(packet)
			_ = proto.Unmarshal(payload, &peerproto.Datagram{})
		}
	}))
	for _, members := range []int{50, 100, 200, 400} {
		ma := placer.NewMap("m", partitions).NextVersion(0)
		for _, an := range Rows(members, 0, "10.0.0.1:7001") {
			ma = ma.WithMember(placer.Member{BackendServer: an.BackendServer, Incarnation: an.Lease.Incarnation, Weight: placer.FullWeight})
		}
		measurements = append(measurements, benchmark(fmt.Sprintf("map of %d members, 16,384 partitions, applied", members), func(b *testing.B) {
			for range b.N {
				placer.NewTable(ma)
			}
		}))
	}
	limits := maps[folder.LimitsService]
	measurements = append(measurements, benchmark("map of 880 members, 1,024 partitions, applied", func(b *testing.B) {
		for range b.N {
			placer.NewTable(limits)
		}
	}))
	return measurements
}

func sizes(maps map[string]placer.Map) ([]Measurement, error) {
	config, err := encoder.EncodeConfig(Config())
	if err != nil {
		return nil, err
	}
	limits, err := encoder.EncodeMap(maps[folder.LimitsService])
	if err != nil {
		return nil, err
	}
	service, err := encoder.EncodeMap(maps["service-0"])
	if err != nil {
		return nil, err
	}
	list := []Measurement{
		{Name: "configuration, 1,000 workspaces and 5,000 keys", Value: float64(len(config)), Unit: "bytes"},
		{Name: "the same, packed", Value: float64(len(encoder.Compress(config))), Unit: "bytes"},
		{Name: "map of 880 members", Value: float64(len(limits)), Unit: "bytes"},
		{Name: "the same, packed", Value: float64(len(encoder.Compress(limits))), Unit: "bytes"},
		{Name: "map of 110 members, packed", Value: float64(len(encoder.Compress(service))), Unit: "bytes"},
	}
	tables := heapOf(func() any {
		var kept []*placer.Table
		for _, ma := range maps {
			kept = append(kept, placer.NewTable(ma))
		}
		return kept
	})
	view := heapOf(func() any { return publisher.NewView(Config(), nil) })
	return append(list,
		Measurement{Name: "heap of all tables", Value: tables, Unit: "bytes"},
		Measurement{Name: "heap of the configuration and its index", Value: view, Unit: "bytes"}), nil
}

// heapOf returns the bytes of live heap that a value occupies.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
