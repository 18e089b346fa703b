// Package alarm raises one alarm for each promise, when its outcome is truly broken
// or its budget is about to be, and clears it when the outcome holds again.
package alarm

import "time"

// Promise names an outcome that the system keeps.
type Promise string

// The promises.
const (
	VersionTags    Promise = "version_tags"    // every sample names its weight versions
	StalenessBound Promise = "staleness_bound" // no sample over the bound
	ExactlyOnce    Promise = "exactly_once"    // each sample is delivered once
	WholeAnswers   Promise = "whole_answers"   // each caller gets its whole answer
	NotRunTruth    Promise = "not_run"         // not run means not run
	AtMostOnce     Promise = "at_most_once"    // non-idempotent requests
	LeavingServers Promise = "leaving_servers" // no new work for leaving servers
	PlannedStop    Promise = "planned_stop"    // planned stops cut nothing
	InForce        Promise = "config_in_force" // documents in force in time, never reverting
	TrainerIdle    Promise = "trainer_idle"    // steps whole within their time
	Unanswered     Promise = "unanswered"      // requests answered within their deadlines
)

// Evidence is what an alarm shows.
type Evidence struct {
	Service string    `json:"service"`
	Subject string    `json:"subject"` // request, sample, step, server or member
	Detail  string    `json:"detail"`
	At      time.Time `json:"at"`
}

// Recorder takes the outcomes that packages observe where they land.
type Recorder interface {
	// Kept records that the promise held for one subject.
	Kept(p Promise, service string)
	// Broken records that the promise did not hold.
	Broken(p Promise, e Evidence)
}

// Alarm is one raised alarm.
type Alarm struct {
	Promise  Promise    `json:"promise"`
	Service  string     `json:"service"`
	Since    time.Time  `json:"since"`
	Count    int        `json:"count"`
	Evidence []Evidence `json:"evidence"` // newest last, bounded
	Remedy   string     `json:"remedy"`
}
