// Package triage decides what happens to a request that cannot be sent at once
// because no endpoint holds its model: whether it waits, and until when, or is
// rejected, and when its caller should return.
//
// It answers the pattern "rare models all at once": requests arrive for models
// whose load takes longer than their callers wait. Such a request is rejected as
// soon as that is known, with the time at which the model is expected, so that the
// caller returns to a loaded model instead of waiting in vain.
//
// It also answers "demand that moves": the engines that hold a model are full until
// further copies are loaded. Requests that they reject are refused at once, and their
// callers return when the next copy is expected.
//
// A request that the configuration in force refuses waits for a newer one that another node
// has named, and for no longer than that is likely to arrive.
//
// The package has no goroutine, no clock and no network.
package triage

import "time"

const (
	// planTime is how long the coordinator usually takes to report a load after the
	// first request for a model: an exchange to report the request, a plan and an
	// exchange with the answer.
	planTime = 900 * time.Millisecond
	// reportTime is how much later than the end of a load nodes learn of it: the
	// interval between two reports of an engine and between two exchanges.
	reportTime = 400 * time.Millisecond
	// MinRetryAfter is the shortest time after which a rejected caller returns.
	MinRetryAfter = 300 * time.Millisecond
	// drainTime is when the callers of a rejected request return if no copy is being
	// loaded: engines that were full have worked off a part of their queue by then.
	drainTime = 800 * time.Millisecond
	// spreadShare is the part of a caller's return time by which returns are spread,
	// so that callers which were rejected together do not return together.
	spreadShare = 0.25
	// closedSpread is by how much the returns of callers are spread at least after
	// engines wanted no requests.
	closedSpread = 400 * time.Millisecond
	// placeTime is how long the coordinator may take to say when a request gets a place at
	// an endpoint that limits requests, a new coordinator included.
	placeTime = 1100 * time.Millisecond
	// placeMargin is by which part a wait for a place may take longer than expected: tokens
	// are lost with nodes and messages.
	placeMargin = 0.25
)

// Request is what the decision needs to know of a request.
type Request struct {
	// Since is when the request began to wait.
	Since time.Time
	// LeavesAt is when the caller gives up if it has got no part of an answer.
	LeavesAt time.Time
	// FirstPart is how long an endpoint usually takes until the first part of the
	// answer.
	FirstPart time.Duration
	// Random is a number from 0 up to 1 that spreads the returns of callers.
	Random float64
}

// Model is what is known of the model that a request waits for.
type Model struct {
	// ReadyAt is when a load that is under way or planned is expected to end, zero
	// if none is known.
	ReadyAt time.Time
	// LoadTime is how long a load takes if none is known.
	LoadTime time.Duration
}

// Reason says why a request waits or is rejected.
type Reason string

// The reasons.
const (
	LoadInTime  Reason = "load-in-time"
	LoadTooLate Reason = "load-too-late"
	LoadUnknown Reason = "load-unknown"
	LoadNotYet  Reason = "load-not-reported"
	HoldersFull Reason = "holders-full"
	AllClosed   Reason = "all-closed"
	// Endpoints that limit requests are the only ones.
	PlaceInTime  Reason = "place-in-time"
	PlaceTooLate Reason = "place-too-late"
	PlaceNotYet  Reason = "place-not-known-yet"
	PlaceUnknown Reason = "place-not-known"
)

// Decision is what happens to a request now.
type Decision struct {
	// Wait is set if the request waits. The decision is made again at Until, or
	// earlier if what is known changes.
	Wait   bool
	Until  time.Time
	Reason Reason
	// RetryAfter is the time after which the caller of a rejected request should
	// return.
	RetryAfter time.Duration
}

// Decide decides about a request at now.
func Decide(now time.Time, r Request, m Model) Decision {
	// After latest an answer no longer reaches the caller in time.
	latest := r.LeavesAt.Add(-r.FirstPart)
	if !m.ReadyAt.IsZero() {
		usable := m.ReadyAt.Add(reportTime)
		if usable.Before(now) {
			// The load takes longer than expected. The next report may show its end.
			usable = now.Add(reportTime / 2)
		}
		if usable.Before(latest) {
			return Decision{
				Wait:   true,
				Until:  latest,
				Reason: LoadInTime,
			}
		}
		return reject(usable.Sub(now), r.Random, LoadTooLate)
	}
	reported := r.Since.Add(planTime)
	if now.Before(reported) && reported.Before(latest) {
		return Decision{
			Wait:   true,
			Until:  reported,
			Reason: LoadNotYet,
		}
	}
	return reject(m.LoadTime+reportTime, r.Random, LoadUnknown)
}

// Full returns when the caller of a request should return that all engines which hold
// its model have rejected as full. readyAt is when the next copy of the model is
// expected, zero if none is being loaded.
func Full(now, readyAt time.Time, random float64) Decision {
	wait := drainTime
	if !readyAt.IsZero() {
		wait = max(wait, readyAt.Add(reportTime).Sub(now))
	}
	return reject(wait, random, HoldersFull)
}

// Closed returns when the caller of a request should return that no engine wants before
// reopens, which is when the first of them takes requests again. Callers return after
// that time, spread over closedSpread at least: they would otherwise all be turned away
// again. Callers are told whole numbers of unit.
func Closed(now, reopens time.Time, unit time.Duration, random float64) Decision {
	wait := max(reopens.Sub(now), MinRetryAfter)
	over := max(closedSpread, 2*unit, time.Duration(spreadShare*float64(wait)))
	return Decision{
		Reason:     AllClosed,
		RetryAfter: wait + time.Duration(random*float64(over)),
	}
}

// Place decides about a request that only endpoints which limit requests can serve. placeAt is
// when it is expected to get a place there, readyAt when a further copy of its model is
// expected elsewhere; each is zero if it is not known.
func Place(now time.Time, r Request, placeAt, readyAt time.Time) Decision {
	latest := r.LeavesAt.Add(-r.FirstPart)
	at := placeAt
	if wait := placeAt.Sub(now); !placeAt.IsZero() && wait > 0 {
		at = placeAt.Add(time.Duration(placeMargin * float64(wait)))
	}
	if !readyAt.IsZero() {
		if usable := readyAt.Add(reportTime); at.IsZero() || usable.Before(at) {
			at = usable
		}
	}
	if at.IsZero() {
		known := r.Since.Add(placeTime)
		if now.Before(known) && now.Before(latest) {
			return Decision{
				Wait:   true,
				Until:  earliest(known, latest),
				Reason: PlaceNotYet,
			}
		}
		return spread(drainTime, r.Random, PlaceUnknown)
	}
	if at.Before(now) {
		// The place comes with the next exchange.
		at = now
	}
	if at.Before(latest) {
		return Decision{
			Wait:   true,
			Until:  latest,
			Reason: PlaceInTime,
		}
	}
	return spread(at.Sub(now), r.Random, PlaceTooLate)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// spread is reject with returns that are spread over at least closedSpread.
func spread(wait time.Duration, random float64, reason Reason) Decision {
	wait = max(wait, MinRetryAfter)
	return Decision{
		Reason:     reason,
		RetryAfter: wait + time.Duration(random*float64(max(closedSpread, time.Duration(spreadShare*float64(wait))))),
	}
}

func reject(wait time.Duration, random float64, reason Reason) Decision {
	wait = max(wait, MinRetryAfter)
	return Decision{
		Reason:     reason,
		RetryAfter: wait + time.Duration(random*spreadShare*float64(wait)),
	}
}
