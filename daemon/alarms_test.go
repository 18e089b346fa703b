package daemon_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/local"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

// stepTimeout bounds one training step of a test.
const stepTimeout = 60 * time.Second

// applyDraftpool applies the example document with the given step time and waits until
// it is in force on all daemons.
func applyDraftpool(t *testing.T, s *local.System, stepTime string) {
	t.Helper()
	source, err := os.ReadFile("../examples/documents/draftpool.ini")
	if err != nil {
		t.Fatal(err)
	}
	version := s.Apply("draftpool", []byte(strings.Replace(string(source), "step_time = 40m", "step_time = "+stepTime, 1)))
	for _, d := range s.Daemons {
		sess := &session{t: t, daemon: d}
		sess.waitInForce(fmt.Sprint(version), len(s.Daemons))
	}
}

// runStep runs one training step of 4 groups of 4 samples. It calls onFirstSample once,
// when the first samples have arrived.
func runStep(t *testing.T, s *local.System, onFirstSample func()) trainer.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	tr := trainer.New(trainer.Config{
		Name: "captions", Service: "draftpool", Daemons: s.Addresses(), StalenessBound: 2, MaxSamplesPerPull: 4,
		Version: func() int64 { return 1 },
	})
	if err := tr.Open(ctx); err != nil {
		t.Fatal(err)
	}
	var groups []rollout.Group
	for i := range 4 {
		groups = append(groups, rollout.Group{ID: fmt.Sprintf("g%d", i), Prompt: fmt.Sprintf("Observer note %d", i), Samples: 4, MaxTokens: 64})
	}
	called := false
	result, err := tr.Step(ctx, 1, groups, func(int) {
		if !called {
			called = true
			onFirstSample()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Violated() {
		t.Errorf("the step violated a promise: %+v", result)
	}
	return result
}

func TestNoAlarmsUnderToleratedFaults(t *testing.T) {
	t.Parallel()
	s := newRegion(t, 3, "")
	applyDraftpool(t, s, "10m")
	runStep(t, s, func() {
		s.Engines[0].Crash()
		s.Engines[1].SetFaults(fakeengine.Faults{FailActivate: 1})
		s.Weights.Publish("draftpool", 2)
		s.Platform.SetFaults(fakeplatform.Faults{Outage: true})
		go func() { _ = s.Daemons[2].Stop() }()
	})
	s.Platform.SetFaults(fakeplatform.Faults{LoseResponses: 2, SlowMS: 50, SilenceWatches: true})
	const observationTime = 3 * time.Second // a few checks of the in-force watch
	for end := time.Now().Add(observationTime); time.Now().Before(end); time.Sleep(observationTime / 10) {
		for _, d := range s.Daemons[:2] {
			if alarms := statusOf(t, d).Alarms; len(alarms) > 0 {
				t.Fatalf("alarms on %s: %+v", d.ID, alarms)
			}
		}
	}
}

func TestLateStepRaisesTrainerIdleAndClears(t *testing.T) {
	t.Parallel()
	s := newRegion(t, 1, "[alarms]\nclear_after = 1s\n")
	applyDraftpool(t, s, "1s")
	for _, engine := range s.Engines {
		engine.SetFaults(fakeengine.Faults{SlowFactor: 30})
	}
	raised := make(chan alarm.Alarm, 1)
	pollCtx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for pollCtx.Err() == nil {
			if alarms := statusOf(t, s.Daemons[0]).Alarms; len(alarms) > 0 {
				raised <- alarms[0].Alarm
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	runStep(t, s, func() {})
	select {
	case a := <-raised:
		if a.Promise != alarm.StepsInTime || a.Service != "draftpool" || a.Evidence[0].Subject == "" || a.Remedy == "" {
			t.Errorf("alarm %+v", a)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no alarm for a step that exceeded its step time")
	}
	const clearTimeout = 20 * time.Second
	for end := time.Now().Add(clearTimeout); len(statusOf(t, s.Daemons[0]).Alarms) > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the alarm does not clear")
		}
	}
}

func TestUnansweredRequestsRaiseAlarm(t *testing.T) {
	t.Parallel()
	s := newRegion(t, 1, "")
	source, err := os.ReadFile("testdata/desk.ini")
	if err != nil {
		t.Fatal(err)
	}
	version := s.Apply("ledgerdesk", source)
	sess := &session{t: t, daemon: s.Daemons[0]}
	sess.waitInForce(fmt.Sprint(version), 1)
	send := func(path string) {
		sess.call("GET", "/v1/services/ledgerdesk"+path, "")
	}
	for range 30 {
		send("/records")
	}
	if alarms := statusOf(t, s.Daemons[0]).Alarms; len(alarms) > 0 {
		t.Fatalf("alarms although all requests are answered: %+v", alarms)
	}
	s.PlainServices[0].SetFaults(fakeplain.Faults{NotStarted: 1000})
	for range 30 {
		send("/records")
	}
	alarms := statusOf(t, s.Daemons[0]).Alarms
	if len(alarms) != 1 || alarms[0].Promise != alarm.AnsweredInTime || alarms[0].Service != "ledgerdesk" || alarms[0].Evidence[0].Subject == "" {
		t.Errorf("alarms %+v", alarms)
	}
}
