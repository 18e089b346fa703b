package gateway

import (
	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

// ChooseService returns the service whose share of the split contains point, which is in
// [0, 1).
func ChooseService(split []catalog.Share, point float64) string {
	var total float64
	for _, s := range split {
		total += s.Weight
	}
	point *= total
	for _, s := range split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	if len(split) > 0 {
		return split[0].Service
	}
	return ""
}

// UsableService returns the chosen service of a split, or, while that is not usable, the first other
// one that is, and whether the returned service is usable. A service without a share gets nothing. Load
// pattern: the only replica of a small service, such as a trial of a release, is lost while the
// replicas of the other service are idle.
func UsableService(split []catalog.Share, chosen string, isUsable func(service string) bool) (service string, usable bool) {
	if len(split) <= 1 || isUsable(chosen) {
		return chosen, true
	}
	for _, share := range split {
		if share.Service != chosen && share.Weight > 0 && isUsable(share.Service) {
			return share.Service, true
		}
	}
	return chosen, false
}

// chooseForAttempt returns the service for the next attempt of a caller's request: the one at point,
// unless only others of the split have a healthy replica on which it was not tried or, if none has,
// any such replica. choiceAt returns the replicas of a service that are left for the request.
func chooseForAttempt(split []catalog.Share, point float64, choiceAt func(service string) placement.Choice) string {
	chosen := ChooseService(split, point)
	service, usable := UsableService(split, chosen, func(s string) bool { return choiceAt(s).Healthy > 0 })
	if !usable {
		service, _ = UsableService(split, chosen, func(s string) bool { return choiceAt(s).Eligible > 0 })
	}
	return service
}
