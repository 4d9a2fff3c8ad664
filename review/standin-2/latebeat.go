package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lateBeat lets the first heartbeat of a backend arrive seconds late, at a process that has
// just been killed and started again, while the zone of that machine is taken out.
func lateBeat(rec *record, folder string, hasTrouble bool) (verdict, error) {
	const (
		bound     = 500 * time.Millisecond
		restartIn = 200 * time.Millisecond
	)
	quick := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	de, err := deploy(rec, folder, []service{
		{name: "booking", isSharded: true, slots: 6, zones: []string{"riga-a", "riga-b", "riga-b", "riga-b", "riga-c", "riga-c", "riga-c"}, work: quick},
	})
	if err != nil {
		return verdict{}, err
	}
	defer de.close()
	ma := de.machines[0]
	var mu sync.Mutex
	var lateBody []byte
	lateID := ""
	if hasTrouble {
		ma.be.path = func(be *backend, sequence uint64, id string, body []byte) ([]byte, error) {
			if sequence > 1 {
				return direct(be, sequence, id, body)
			}
			mu.Lock()
			lateBody, lateID = body, id
			mu.Unlock()
			rec.log("heartbeat 1 of %s is held up", be.name)
			time.Sleep(replyTimeout)
			return nil, fmt.Errorf("no reply within a second")
		}
	}
	de.configure(1, 1000, []route{{Name: "check", Prefix: "/check/", Kind: "idempotent", Service: "booking", Timeout: 1.5, Target: 0.5, Priority: 2}})
	if err := de.start(); err != nil {
		return verdict{}, err
	}
	// The process is killed shortly before a heartbeat, which then finds nobody.
	be := ma.be
	if err := de.await(6*time.Second, "the next heartbeat is due in 150 ms", func() bool {
		be.mu.Lock()
		defer be.mu.Unlock()
		left := time.Until(be.nextBeatAt)
		return left > 120*time.Millisecond && left < 150*time.Millisecond && len(be.holds) > 0
	}); err != nil {
		return verdict{}, err
	}
	if hasTrouble {
		de.killProcess(ma)
		de.st.put("op", "evacuate/riga-a", []byte("{}"))
		rec.log("evacuation of riga-a acknowledged")
		time.Sleep(restartIn)
		if err := de.startProcess(ma); err != nil {
			return verdict{}, err
		}
		go func() {
			slow := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
			for range 200 {
				mu.Lock()
				body, id := lateBody, lateID
				mu.Unlock()
				content, err := post(slow, "http://"+be.control+wire("root")+"instances/"+id+"/heartbeat", body)
				if err == nil {
					rec.log("heartbeat 1 of %s has arrived; reply %d bytes, nobody waits for it", be.name, len(content))
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
	} else {
		de.st.put("op", "evacuate/riga-a", []byte("{}"))
	}
	return watchOwners(de, 6*time.Second, bound), nil
}

// watchOwners looks for keys that two backends hold for longer than the bound.
func watchOwners(de *deployment, span, bound time.Duration) verdict {
	type pair struct {
		key  uint64
		a, b string
	}
	since := map[pair]time.Time{}
	longest, count := time.Duration(0), 0
	what := ""
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		now := time.Now()
		holders := map[uint64][]string{}
		for _, ma := range de.machines {
			for _, ho := range ma.be.held(now) {
				for key := ho.from; key <= ho.to; key += 64 {
					holders[key] = append(holders[key], ma.name)
				}
			}
		}
		current := map[pair]bool{}
		for key, names := range holders {
			for i := range names {
				for _, other := range names[i+1:] {
					current[pair{key, names[i], other}] = true
				}
			}
		}
		for pa := range since {
			if !current[pa] {
				delete(since, pa)
			}
		}
		for pa := range current {
			if since[pa].IsZero() {
				since[pa] = now
				count++
				if count == 1 {
					de.rec.log("key %d is held by %s and %s", pa.key, pa.a, pa.b)
				}
			}
			if span := now.Sub(since[pa]); span > longest {
				longest, what = span, fmt.Sprintf("key %d by %s and %s", pa.key, pa.a, pa.b)
			}
		}
	}
	return verdict{isBroken: longest > bound, summary: fmt.Sprintf("OWNER: %d sampled keys were held by two backends, the longest for %.3f s (%s); allowed are 0.5 s", count, longest.Seconds(), what)}
}
