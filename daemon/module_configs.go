package daemon

import (
	"hash/fnv"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/claims"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/routing"
	"github.com/hornbeamtide/hornbeamtide/weights"
)

func platformConfig(s Settings) platform.Config {
	return platform.Config{
		Address:       s.Platform.Address,
		WeightAddress: s.Platform.WeightAddress,
		CallTimeout:   s.Platform.CallTimeout,
		WatchWait:     s.Platform.Progress,
		ReadRate:      s.Platform.ReadRate,
		WriteRate:     s.Platform.WriteRate,
		Region:        s.Daemon.Region,
	}
}

func fleetConfig(s Settings, l listeners) fleet.Config {
	return fleet.Config{
		Self: fleet.Member{
			ID:            s.Daemon.ID,
			Address:       l.http.Addr().String(),
			PeerAddress:   l.peer.Addr().String(),
			Region:        s.Daemon.Region,
			FailureDomain: s.Daemon.FailureDomain,
		},
		ReportInterval:      s.Peers.ReportInterval,
		ListInterval:        s.Peers.ListInterval,
		MemberTimeout:       s.Peers.MemberTimeout,
		IsolationLimit:      s.Peers.IsolationLimit,
		DirectReadInterval:  s.Peers.DirectInterval,
		SubsetSize:          subsetSize,
		CollectorsPerDomain: collectorsPerDomain,
	}
}

func routingConfig(s Settings) routing.Config {
	return routing.Config{
		Policy:       string(s.Backends.Policy),
		PollInterval: s.Backends.PollInterval,
		LoadBound:    s.Backends.LoadBound,
		Seed:         seedFromID(s.Daemon.ID),
	}
}

// seedFromID gives each daemon its own reproducible random choices.
func seedFromID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

func backendTimeouts(s Settings) backend.Timeouts {
	return backend.Timeouts{
		Connect:   s.Backends.Connect,
		FirstByte: s.Backends.FirstByte,
		Progress:  s.Backends.Progress,
	}
}

func claimsConfig(s Settings) claims.Config {
	return claims.Config{
		Shards:        s.Claims.Shards,
		BatchInterval: s.Claims.BatchInterval,
		Retention:     claimRetention,
	}
}

func rolloutConfig(s Settings) rollout.Config {
	return rollout.Config{
		MaxConcurrentGroups:        s.Rollout.GroupsInProgress,
		StepRetention:              stepRetention,
		TokenStoreInterval:         tokenStoreInterval,
		DisableHedging:             !s.Rollout.Hedging,
		DisableStaleCancel:         !s.Rollout.CutStale,
		DisableStalenessPreference: !s.Rollout.Freshness,
	}
}

func weightsConfig(s Settings) weights.Config {
	return weights.Config{
		PollInterval:        s.Weights.PollInterval,
		LeaseDuration:       s.Weights.Lease,
		MaxConcurrentStages: s.Weights.StageAtOnce,
	}
}
