package alarm

import (
	"testing"
	"time"
)

func newTestBudget() (*AnswerBudget, *Manager, *fakeClock) {
	m, c := newTestManager()
	return NewAnswerBudget(AnswerConfig{MaxUnansweredPercent: 5, MinUnanswered: 20, Window: time.Minute, Now: c.now}, m), m, c
}

func recordRequests(b *AnswerBudget, answered, unanswered int) {
	for range answered {
		b.Answered("ledgerdesk")
	}
	for range unanswered {
		b.Unanswered("ledgerdesk", "r-1", "deadline")
	}
}

func TestUnansweredRequestsRaiseAlarmOnlyAboveTheBudget(t *testing.T) {
	table := []struct {
		name                 string
		answered, unanswered int
		raised               int
	}{
		{"none", 100, 0, 0},
		{"few requests, all unanswered", 0, 19, 0},
		{"within the limit", 1000, 50, 0},
		{"above the limit", 300, 20, 1},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			b, m, _ := newTestBudget()
			recordRequests(b, row.answered, row.unanswered)
			raised := m.Raised()
			if len(raised) != row.raised {
				t.Fatalf("alarms %+v", raised)
			}
			if row.raised > 0 && raised[0].Evidence[0].Detail != "20 of 320 requests unanswered within 1m0s; last: deadline" {
				t.Errorf("evidence %+v", raised[0].Evidence)
			}
		})
	}
}

func TestUnansweredRequestsOfAnEarlierWindowDoNotCount(t *testing.T) {
	b, m, c := newTestBudget()
	recordRequests(b, 0, 15)
	c.at = c.at.Add(time.Minute)
	recordRequests(b, 0, 15)
	if raised := m.Raised(); len(raised) != 0 {
		t.Errorf("alarms %+v", raised)
	}
}
