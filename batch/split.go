package batch

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/gateway"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

// chooseService returns the service of the route's split that an item belongs to. It hashes the
// item's ID so that every attempt gets the same service.
func chooseService(route *catalog.Route, item string) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	point := float64(xxhash.Sum64String(item)%1000) / 1000
	return gateway.ChooseService(route.Split, point)
}

// usableService returns the service to which a request of an item goes: the one that the item belongs
// to, or another one of the split while that has no usable replica.
func usableService(route *catalog.Route, item string, isUsable func(service string) bool) string {
	service, _ := gateway.UsableService(route.Split, chooseService(route, item), isUsable)
	return service
}

// usability returns a function that reports whether a service has a replica that may run the request
// and had no recent failure, whether it has a free slot or not. It asks once for each service.
func (m *Manager) usability(request placement.Request) func(service string) bool {
	known := map[string]bool{}
	return func(service string) bool {
		usable, isKnown := known[service]
		if !isKnown {
			request.Service, request.Exclude = service, nil
			usable = m.tracker.Explain(request).Healthy > 0
			known[service] = usable
		}
		return usable
	}
}
