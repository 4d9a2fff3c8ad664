package encoder

import (
	"encoding/json"

	"cornellanding.example/core/roller"
	"cornellanding.example/core/timer"
)

type wireOrder struct {
	ID         uint64     `json:"id"`
	To         string     `json:"to"`
	DurationNs timer.Span `json:"durationNs"`
}

type wireRollOutState struct {
	Service    string     `json:"service"`
	Version    uint64     `json:"version"`
	InForce    string     `json:"inForce"`
	Order      *wireOrder `json:"order,omitempty"`
	Outcome    string     `json:"outcome,omitempty"`
	Phase      string     `json:"phase"`
	Step       int        `json:"step,omitempty"`
	Canaries   []string   `json:"canaries,omitempty"`
	Share      uint32     `json:"share,omitempty"`
	Actor      uint64     `json:"actor,omitempty"`
	Term       uint64     `json:"term,omitempty"`
	DeadlineAt int64      `json:"deadlineAt,omitempty"`
	Seen       uint64     `json:"seen,omitempty"`
	Granted    uint64     `json:"granted,omitempty"`
	Lost       uint64     `json:"lost,omitempty"`
}

// EncodeRollOut returns the stored form of the state of a service's versions.
func EncodeRollOut(st roller.State) ([]byte, error) {
	ws := wireRollOutState{
		Service: st.Service, Version: st.Version, InForce: st.InForce, Outcome: string(st.Outcome), Phase: string(st.Phase),
		Step: st.Step, Canaries: st.Canaries, Share: st.Share, Actor: st.Actor, Term: st.Term,
		DeadlineAt: st.DeadlineAt, Seen: st.Seen, Granted: st.Granted, Lost: st.Lost,
	}
	if st.Order.ID != 0 {
		ws.Order = &wireOrder{ID: st.Order.ID, To: st.Order.To, DurationNs: st.Order.Duration}
	}
	return json.Marshal(ws)
}

// DecodeRollOut decodes the stored form of the state of a service's versions. The error is
// a *DecodeError.
func DecodeRollOut(content []byte) (roller.State, error) {
	var ws wireRollOutState
	if err := decode("rollout", content, &ws); err != nil {
		return roller.State{}, err
	}
	st := roller.State{
		Service: ws.Service, Version: ws.Version, InForce: ws.InForce, Outcome: roller.Outcome(ws.Outcome), Phase: roller.Phase(ws.Phase),
		Step: ws.Step, Canaries: ws.Canaries, Share: ws.Share, Actor: ws.Actor, Term: ws.Term,
		DeadlineAt: ws.DeadlineAt, Seen: ws.Seen, Granted: ws.Granted, Lost: ws.Lost,
	}
	if ws.Order != nil {
		st.Order = roller.Order{ID: ws.Order.ID, Service: ws.Service, To: ws.Order.To, Duration: ws.Order.DurationNs}
	}
	return st, nil
}
