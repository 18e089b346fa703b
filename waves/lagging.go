package waves

import (
	"sort"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// workItems lists the lagging replicas of all services, the most urgent first. It also
// reassigns replicas to models.
func (m *Manager) workItems() []workItem {
	cfg := m.Configuration()
	if cfg == nil {
		return nil
	}
	demand := m.Demand()
	m.mu.Lock()
	defer m.mu.Unlock()
	var items []workItem
	for name, service := range cfg.Services {
		if service.Engine == nil {
			continue
		}
		replicas := readyReplicas(m.Tracker.Replicas(name))
		models := m.modelsWithVersion(service.Engine.Models)
		counts := apportion(len(replicas), models, demand, m.replicaCounts[name])
		m.replicaCounts[name] = counts
		assigned := assignReplicas(replicas, models, counts)
		for _, model := range models {
			items = append(items, m.laggingReplicas(model, assigned[model], maxConcurrentLoads(len(replicas)))...)
		}
	}
	sort.Slice(items, func(a, b int) bool { return moreUrgent(items[a], items[b]) })
	return items
}

// laggingReplicas lists the replicas of a model that lack its newest version. The caller
// holds the lock.
func (m *Manager) laggingReplicas(model string, replicas []catalog.Replica, maxLoads int) []workItem {
	newest := m.versions[model]
	updated, usable := 0, 0
	for _, r := range replicas {
		if p := m.orders[r.ID]; r.Versions[model] >= newest || p != nil && p.model == model && p.version >= newest {
			updated++
		}
		if r.Versions[model] >= newest-1 {
			usable++
		}
	}
	var items []workItem
	for _, r := range replicas {
		if r.Versions[model] < newest {
			items = append(items, workItem{
				replica: r, model: model, version: newest, maxLoads: maxLoads,
				halfUpdated: updated >= len(replicas)/2, usableShare: float64(usable) / float64(len(replicas)), updatedShare: float64(updated) / float64(len(replicas)),
			})
		}
	}
	return items
}

// lag returns by how many versions the replica lags.
func (w workItem) lag() int64 { return w.version - w.replica.Versions[w.model] }

// modelsWithVersion returns, sorted, the models for which a trainer has published a version.
func (m *Manager) modelsWithVersion(models []string) []string {
	var found []string
	for _, model := range models {
		if m.versions[model] > 0 {
			found = append(found, model)
		}
	}
	sort.Strings(found)
	return found
}

func readyReplicas(replicas []catalog.Replica) []catalog.Replica {
	var found []catalog.Replica
	for _, r := range replicas {
		if r.State == catalog.Ready {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].ID < found[b].ID })
	return found
}
