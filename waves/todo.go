package waves

import (
	"sort"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// todo lists the replicas that are behind, grouped by service.
func (m *Manager) todo() []work {
	configuration := m.Configuration()
	if configuration == nil {
		return nil
	}
	demand := m.Demand()
	m.mu.Lock()
	defer m.mu.Unlock()
	var todo []work
	for name, service := range configuration.Services {
		if service.Engine == nil {
			continue
		}
		replicas := ready(m.Tracker.Replicas(name))
		models := m.named(service.Engine.Models)
		counts := apportion(len(replicas), models, demand, m.counts[name])
		m.counts[name] = counts
		parts := shares(replicas, models, counts)
		for _, model := range models {
			todo = append(todo, m.behindOf(model, parts[model], atOnce(len(replicas)))...)
		}
	}
	sort.Slice(todo, func(a, b int) bool { return urgency(todo[a], todo[b]) })
	return todo
}

// behindOf lists the replicas of a model that lack its newest version. The lock is held.
func (m *Manager) behindOf(model string, replicas []catalog.Replica, limit int) []work {
	newest := m.versions[model]
	has, usable := 0, 0
	for _, r := range replicas {
		if p := m.orders[r.ID]; r.Versions[model] >= newest || p != nil && p.model == model && p.version >= newest {
			has++
		}
		if r.Versions[model] >= newest-1 {
			usable++
		}
	}
	var todo []work
	for _, r := range replicas {
		if r.Versions[model] < newest {
			todo = append(todo, work{
				replica: r, model: model, version: newest, limit: limit,
				halfHasIt: has >= len(replicas)/2, usable: float64(usable) / float64(len(replicas)), fresh: float64(has) / float64(len(replicas)),
			})
		}
	}
	return todo
}

// lag is how many versions a replica is behind.
func (w work) lag() int64 { return w.version - w.replica.Versions[w.model] }

// named are the models of which a version was named, in a fixed order.
func (m *Manager) named(models []string) []string {
	var found []string
	for _, model := range models {
		if m.versions[model] > 0 {
			found = append(found, model)
		}
	}
	sort.Strings(found)
	return found
}

func ready(replicas []catalog.Replica) []catalog.Replica {
	var found []catalog.Replica
	for _, r := range replicas {
		if r.State == catalog.Ready {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].ID < found[b].ID })
	return found
}
