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
	"github.com/hornbeamtide/hornbeamtide/httpclient"
)

// Limits on the collection of a region's alarms.
const (
	memberCallTimeout        = time.Second
	memberCallsTimeout       = 3 * time.Second // for all calls together
	maxConcurrentMemberCalls = 16
	maxMemberResponseBytes   = 1 << 20
)

// DaemonAlarm is an alarm with the ID of the daemon that raised it.
type DaemonAlarm struct {
	Daemon string `json:"daemon"`
	alarm.Alarm
}

// RegionalAlarms holds the alarms of all daemons of a region.
type RegionalAlarms struct {
	Alarms              []DaemonAlarm `json:"alarms"`     // ordered by daemon, promise and service
	UnresponsiveDaemons []string      `json:"unanswered"` // IDs of daemons that did not return their alarms
}

// regionalAlarms collects the alarms of all members.
func (d *Daemon) regionalAlarms(ctx context.Context) RegionalAlarms {
	all := RegionalAlarms{Alarms: d.ownAlarms(), UnresponsiveDaemons: []string{}}
	ctx, cancel := context.WithTimeout(ctx, memberCallsTimeout)
	defer cancel()
	client := httpclient.NewClient(memberCallTimeout)
	defer client.CloseIdleConnections()
	var (
		mu        sync.Mutex
		calls     sync.WaitGroup
		semaphore = make(chan struct{}, maxConcurrentMemberCalls)
	)
	for _, member := range d.modules.View.Members() {
		if member.ID == d.settings.Daemon.ID {
			continue
		}
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			alarms, err := fetchAlarms(ctx, client, member)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				all.UnresponsiveDaemons = append(all.UnresponsiveDaemons, member.ID)
			}
			all.Alarms = append(all.Alarms, alarms...)
		})
	}
	calls.Wait()
	sort.Strings(all.UnresponsiveDaemons)
	sort.SliceStable(all.Alarms, func(i, j int) bool { return all.Alarms[i].Daemon < all.Alarms[j].Daemon })
	return all
}

func (d *Daemon) ownAlarms() []DaemonAlarm {
	return withDaemonID(d.settings.Daemon.ID, d.modules.Alarms.Raised())
}

func withDaemonID(daemon string, alarms []alarm.Alarm) []DaemonAlarm {
	out := make([]DaemonAlarm, 0, len(alarms))
	for _, a := range alarms {
		out = append(out, DaemonAlarm{Daemon: daemon, Alarm: a})
	}
	return out
}

func fetchAlarms(ctx context.Context, client *http.Client, member fleet.Member) ([]DaemonAlarm, error) {
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
		return nil, fmt.Errorf("member %s returned status %s", member.ID, response.Status)
	}
	var alarms []DaemonAlarm
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxMemberResponseBytes)).Decode(&alarms)
	return alarms, err
}
