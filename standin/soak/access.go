package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	headerKey          = "X-Api-Key"
	headerOrganisation = "Tenant"
	publicPath         = "/scores/"
	// withdrawalTime is shorter than most longer faults, so that proofs expire while they are active.
	withdrawalTime = 3 * time.Second
	// denialTime is the time after which no daemon may call an added key unknown. A daemon answers
	// 401 only if its configuration was the newest at most 2.5 s before, and 503 otherwise.
	denialTime          = 3 * time.Second
	keysPerOrganisation = 2
)

// organisations are the names of the organisations in the configuration. The trainer belongs to
// the first one.
var organisations = []string{"north", "south", "west"}

// apiKey is a key that some version of the configuration contains.
type apiKey struct {
	organisation, text string
	addedAt            time.Time // when the first configuration with the key had been written
	isWithdrawing      bool      // a configuration without the key is being or has been written
	withdrawnAt        time.Time // when it had been written
}

// sentRequest is what a client sent under a request ID.
type sentRequest struct {
	key          *apiKey   // nil for none, and for items and their scoring calls
	organisation string    // that the replica must see, "" for none
	at           time.Time // of the first call
	needsKey     bool
}

// isLate reports whether no request that was sent with the key at the given time may run.
func (k *apiKey) isLate(sentAt time.Time) bool {
	return k != nil && !k.withdrawnAt.IsZero() && sentAt.Sub(k.withdrawnAt) > withdrawalTime
}

// changeKeys withdraws the oldest key of an organisation and adds a new one; without an
// organisation it changes nothing. It returns the organisations for the next configuration, and a
// function to call after that has been written.
func (c *checker) changeKeys(organisation string) (tenants []map[string]any, written func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add := func(name string) {
		c.keys = append(c.keys, &apiKey{organisation: name, text: fmt.Sprintf("%s-key-%08x", name, rand.Uint32())})
	}
	for _, name := range organisations {
		var keys []string
		if len(c.keysOf(name)) == 0 {
			for range keysPerOrganisation {
				add(name)
			}
		} else if name == organisation {
			c.keysOf(name)[0].isWithdrawing = true
			add(name)
		}
		for _, k := range c.keysOf(name) {
			keys = append(keys, k.text)
		}
		tenants = append(tenants, map[string]any{"Name": name, "ApiKeys": keys})
	}
	return tenants, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, k := range c.keys {
			if k.addedAt.IsZero() {
				k.addedAt = time.Now()
			}
			if k.isWithdrawing && k.withdrawnAt.IsZero() {
				k.withdrawnAt = time.Now()
			}
		}
	}
}

// keysOf returns the keys of an organisation that are not withdrawn, the oldest first.
func (c *checker) keysOf(organisation string) (valid []*apiKey) {
	for _, k := range c.keys {
		if k.organisation == organisation && !k.isWithdrawing {
			valid = append(valid, k)
		}
	}
	return valid
}

// chooseKey returns the key for a call. A client of an organisation uses its newest key that has
// been written. Others use any key for each request ID: one in eight a withdrawn one, one in eight none.
func (c *checker) chooseKey(organisation, id, path string) *apiKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent, found := c.sent[id]; found && organisation == "" {
		return sent.key
	}
	var usable []*apiKey
	choice := rand.IntN(8)
	for _, k := range c.keys {
		isOld := organisation == "" && choice == 0
		if !k.addedAt.IsZero() && k.isWithdrawing == isOld && (organisation == "" || k.organisation == organisation) {
			usable = append(usable, k)
		}
	}
	var key *apiKey
	switch {
	case len(usable) == 0 || organisation == "" && choice == 1:
	case organisation != "":
		key = usable[len(usable)-1]
	default:
		key = usable[rand.IntN(len(usable))]
	}
	if id != "" {
		sent := sentRequest{key: key, at: time.Now(), needsKey: len(c.keys) > 0 && !strings.HasPrefix(path, publicPath)}
		if key != nil && sent.needsKey {
			sent.organisation = key.organisation
		}
		c.sent[id] = sent
	}
	return key
}

// expectItems records the items of a batch of an organisation, and their scoring calls.
func (c *checker) expectItems(organisation string, ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.sent[id] = sentRequest{organisation: organisation}
		c.sent["score-"+id] = sentRequest{}
	}
}

// checkRun checks the headers of a request that a replica begins to run.
func (c *checker) checkRun(id string, header http.Header) {
	c.mu.Lock()
	sent, found := c.sent[id]
	isLate := sent.key.isLate(sent.at)
	if sent.key != nil && sent.organisation != "" {
		c.runsByOrganisation[sent.organisation]++
	}
	c.mu.Unlock()
	switch got := header.Get(headerOrganisation); {
	case !found:
		c.reportBroken("request %s, which nobody sent, ran", id)
	case header.Get(headerKey) != "":
		c.reportBroken("request %s reached a replica with an API key", id)
	case sent.needsKey && sent.key == nil:
		c.reportBroken("request %s ran without an API key", id)
	case got != sent.organisation || len(header.Values(headerOrganisation)) > 1:
		c.reportBroken("request %s ran for organisation %q, want %q", id, got, sent.organisation)
	case isLate && sent.needsKey:
		c.reportBroken("request %s ran, sent %v after its key was withdrawn", id, sent.at.Sub(sent.key.withdrawnAt))
	}
}

// checkAccess checks the status of a call that was sent with a key at sentAt. Reading and ending a
// batch run nothing, and are allowed with an outdated key.
func (c *checker) checkAccess(key *apiKey, id, path string, status int, sentAt time.Time) {
	if key == nil {
		return
	}
	c.mu.Lock()
	k := *key
	c.mu.Unlock()
	runsNothing := strings.HasPrefix(path, "/hornbeamtide/") || strings.HasPrefix(path, publicPath)
	switch {
	case status == http.StatusUnauthorized && !k.isWithdrawing && sentAt.Sub(k.addedAt) > denialTime:
		c.reportBroken("request %s to %s: status 401, sent %v after its key was added", id, path, sentAt.Sub(k.addedAt))
	case (status == http.StatusOK || status == http.StatusAccepted) && !runsNothing && k.isLate(sentAt):
		c.reportBroken("request %s to %s: status %d, sent %v after its key was withdrawn", id, path, status, sentAt.Sub(k.withdrawnAt))
	case status == http.StatusOK && !runsNothing:
		c.mu.Lock()
		c.completed = append(c.completed, completedRequest{organisation: k.organisation, sentAt: sentAt, endedAt: time.Now()})
		c.mu.Unlock()
	}
}
