package accountant

import (
	"runtime/metrics"

	"cornellanding.example/core/reserver"
)

// measurement reads what lives on the heap.
type measurement struct {
	me      *reserver.Measurer
	samples []metrics.Sample
}

// Measure makes the limit of bytes follow the measured memory. It must be called before Run.
func (ac *Accountant) Measure(me *reserver.Measurer) {
	ac.measurement = &measurement{me: me, samples: []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/gc/heap/live:bytes"}}}
}

// apply sets the limit of the account.
func (ms *measurement) apply(account *reserver.Account) {
	metrics.Read(ms.samples)
	held, _ := account.Held()
	if bytes, ok := ms.me.Sample(ms.samples[0].Value.Uint64(), int64(ms.samples[1].Value.Uint64()), held); ok {
		account.SetBytes(bytes)
	}
}
