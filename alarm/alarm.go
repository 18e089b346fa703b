// Package alarm raises one alarm per promise and service when the promise is broken or its
// budget is about to be exceeded, and clears the alarm when the promise holds again.
package alarm

import "time"

// Promise identifies a guarantee of the system that is monitored.
type Promise string

// The promises.
const (
	VersionTags       Promise = "version_tags"    // every sample is tagged with its weight versions
	StalenessBound    Promise = "staleness_bound" // no sample exceeds the staleness bound
	ExactlyOnce       Promise = "exactly_once"    // each sample is delivered exactly once
	CompleteResponses Promise = "whole_answers"   // each caller gets a complete response
	NotRun            Promise = "not_run"         // a request reported as not run has not run
	AtMostOnce        Promise = "at_most_once"    // a non-idempotent request runs at most once
	LeavingServers    Promise = "leaving_servers" // leaving servers get no new requests
	PlannedStop       Promise = "planned_stop"    // planned stops interrupt no requests
	InForce           Promise = "config_in_force" // documents are in force in time and never revert
	StepsInTime       Promise = "trainer_idle"    // steps complete within their time limit
	AnsweredInTime    Promise = "unanswered"      // requests are answered within their deadlines
)

// Evidence describes one violation of a promise.
type Evidence struct {
	Service string    `json:"service"`
	Subject string    `json:"subject"` // affected request, sample, step, server or member
	Detail  string    `json:"detail"`
	At      time.Time `json:"at"`
}

// Recorder records whether promises hold. Packages report to it what they observe.
type Recorder interface {
	// Kept records that the promise held once.
	Kept(p Promise, service string)
	// Broken records that the promise was violated once.
	Broken(p Promise, e Evidence)
}

// Alarm is one raised alarm.
type Alarm struct {
	Promise  Promise    `json:"promise"`
	Service  string     `json:"service"`
	Since    time.Time  `json:"since"`
	Count    int        `json:"count"`
	Evidence []Evidence `json:"evidence"` // oldest first, limited to the latest entries
	Remedy   string     `json:"remedy"`
}
