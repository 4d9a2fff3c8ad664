package controller

import (
	"context"
	"time"

	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/encoder"
)

const (
	// configWait is the duration of one long poll for a changed configuration.
	// It is short so that a member that can't read it is noticed within a second.
	configWait = 600 * time.Millisecond
	// joinConfigWait is that of an instance that is not in the maps yet, on which
	// no other member relies.
	joinConfigWait = 2 * time.Second
	// configGrace is added to the wait to give the time-out of the call.
	configGrace = 1500 * time.Millisecond
	// configBackoff is the delay after a failed poll. It doubles with each
	// further failure, up to maxConfigBackoff.
	configBackoff    = 150 * timer.Millisecond
	maxConfigBackoff = 1200 * timer.Millisecond
	// maxConfigErrors limits how often the delay is doubled.
	maxConfigErrors = 4
)

// pollConfig long-polls the external configuration source. Only pollers do so;
// other members get new versions from their peers.
func (co *Controller) pollConfig(now timer.Instant) {
	if co.configs == nil || co.isPollingConfig || now.Before(co.nextConfigAt) || !co.isPoller() {
		return
	}
	if len(co.ds.tables) == 0 && co.ds.config.Version != 0 {
		// Nothing is served before there are maps, so a change need not be known.
		return
	}
	if co.isJoined && co.fr.IsUninformed(now, lateReadAge) {
		// Nobody has told of the maps either.
		co.requestMapRead(now)
	}
	co.isPollingConfig = true
	origin := co.ds.config.Origin
	wait := configWait
	if !co.isJoined || co.isMissing() {
		wait = joinConfigWait
	}
	co.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, wait+configGrace)
		defer cancel()
		aw, err := co.configs.Await(ctx, origin, wait)
		readAt := now
		if err == nil {
			readAt = max(now, co.pu.Now().Add(-aw.Age))
		}
		return configPolled{result: aw, readAt: readAt, err: err}
	})
}

// onConfig turns a new configuration into a document, which peers then fetch like
// any other.
func (co *Controller) onConfig(ev configPolled, now timer.Instant) {
	co.isPollingConfig = false
	co.nextConfigAt = now
	if ev.err == nil {
		co.configErrors = 0
	} else {
		co.nextConfigAt = now.Add(min(configBackoff<<co.configErrors, maxConfigBackoff))
		co.configErrors = min(co.configErrors+1, maxConfigErrors)
		co.delegatePolling(now)
	}
	fetched := documentsFetched{readAt: ev.readAt, isTable: true, err: ev.err}
	isNewer := ev.result.IsChanged && ev.result.Config.Origin != co.ds.config.Origin &&
		ev.result.Config.Version > co.ds.config.Version
	if isNewer {
		content, err := encoder.EncodeConfig(ev.result.Config)
		if err != nil {
			co.lo.Error("failed to encode configuration", "version", sequencer.Format(ev.result.Config.Version), "error", err)
		} else {
			fetched.documents = []Document{{Name: ConfigKey, Version: ev.result.Config.Version, Content: content}}
		}
	}
	co.onDocuments(fetched, now)
}
