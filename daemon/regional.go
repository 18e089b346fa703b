package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// Bounds of collecting the alarms of a region.
const (
	memberCallTimeout = time.Second
	memberCallsLimit  = 3 * time.Second // all calls together
	memberCallsAtOnce = 16
	maxMemberAnswer   = 1 << 20 // bytes
)

// DaemonAlarm is an alarm with the daemon that raised it.
type DaemonAlarm struct {
	Daemon string `json:"daemon"`
	alarm.Alarm
}

// RegionalAlarms are the alarms of all daemons of a region.
type RegionalAlarms struct {
	Alarms     []DaemonAlarm `json:"alarms"`     // ordered by daemon, promise and service
	Unanswered []string      `json:"unanswered"` // daemons that did not tell theirs
}

// regionalAlarms asks every member for its alarms.
func (d *Daemon) regionalAlarms(ctx context.Context) RegionalAlarms {
	all := RegionalAlarms{Alarms: d.ownAlarms(), Unanswered: []string{}}
	ctx, cancel := context.WithTimeout(ctx, memberCallsLimit)
	defer cancel()
	client := &http.Client{Timeout: memberCallTimeout}
	defer client.CloseIdleConnections()
	var (
		mu      sync.Mutex
		calls   sync.WaitGroup
		permits = make(chan struct{}, memberCallsAtOnce)
	)
	for _, member := range d.modules.View.Members() {
		if member.ID == d.settings.Daemon.ID {
			continue
		}
		permits <- struct{}{}
		calls.Go(func() {
			defer func() { <-permits }()
			alarms, err := alarmsOf(ctx, client, member)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				all.Unanswered = append(all.Unanswered, member.ID)
			}
			all.Alarms = append(all.Alarms, alarms...)
		})
	}
	calls.Wait()
	sort.Strings(all.Unanswered)
	sort.SliceStable(all.Alarms, func(i, j int) bool { return all.Alarms[i].Daemon < all.Alarms[j].Daemon })
	return all
}

func (d *Daemon) ownAlarms() []DaemonAlarm {
	return tagged(d.settings.Daemon.ID, d.modules.Alarms.Raised())
}

func tagged(daemon string, alarms []alarm.Alarm) []DaemonAlarm {
	out := make([]DaemonAlarm, 0, len(alarms))
	for _, a := range alarms {
		out = append(out, DaemonAlarm{Daemon: daemon, Alarm: a})
	}
	return out
}

func alarmsOf(ctx context.Context, client *http.Client, member fleet.Member) ([]DaemonAlarm, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member.Address+"/v1/alarms", nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("member %s answered %s", member.ID, response.Status)
	}
	var alarms []DaemonAlarm
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxMemberAnswer)).Decode(&alarms)
	return alarms, err
}
