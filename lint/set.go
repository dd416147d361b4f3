package lint

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"egretshunt/board"
	"egretshunt/value"
)

// Site is what a check may know of the deployment besides the table set.
type Site struct {
	// RetryRatio and RetryAllowance are the retry budget: retries per request, and retries on top.
	RetryRatio, RetryAllowance float64
	// Regions are those that have a data centre.
	Regions []string
}

// setRules are the rules for valid table sets. A rule for a new field is a function in this list.
var setRules = []func(*setCheck){
	(*setCheck).checkHosts, (*setCheck).checkPrefixes, (*setCheck).checkReach, (*setCheck).checkSplits, (*setCheck).checkTimes,
	(*setCheck).checkAttempts, (*setCheck).checkPools, (*setCheck).checkAccounts,
	(*setCheck).checkRegions,
}

// Set returns the warnings for the draft of a valid table set, with board's paths. Site is nil if the deployment isn't
// known; rules that depend on it are left out then.
func Set(d board.Draft, site *Site) []Finding {
	c := &setCheck{draft: d, site: site, pools: map[string]*board.Pool{}, used: value.Set[string]{}}
	for i := range d.Pools {
		c.pools[d.Pools[i].Name] = &d.Pools[i]
	}
	for _, rule := range setRules {
		rule(c)
	}
	return c.findings
}

type setCheck struct {
	draft board.Draft
	site  *Site
	pools map[string]*board.Pool
	// used are the pools that a route sends requests to.
	used     value.Set[string]
	findings []Finding
}

func (c *setCheck) warn(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Level: Warning, Field: path, Text: fmt.Sprintf(format, args...)})
}

func (c *setCheck) warnRoute(i int, field, format string, args ...any) {
	c.warn(fmt.Sprintf("Routes[%d].%s", i, field), "route %s: "+format, append([]any{c.draft.Routes[i].Name}, args...)...)
}

func (c *setCheck) checkHosts() {
	for i := range c.draft.Routes {
		host := c.draft.Routes[i].Host
		if _, _, err := net.SplitHostPort(host); err == nil {
			c.warnRoute(i, "Host", "the host %q has a port, which is removed from requests before routes are compared; the route never matches", host)
		} else if strings.Contains(host, "*") {
			c.warnRoute(i, "Host", "the host %q has a *, which stands for itself only; the route matches no other host", host)
		} else if !isHost(host) {
			c.warnRoute(i, "Host", "the host %q has characters that no request's host has; the route never matches", host)
		}
	}
}

// isHost reports whether a request's Host header may have this value.
func isHost(host string) bool {
	return !strings.ContainsFunc(host, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!$%&'()*+,-.:;=[]_~", r))
	})
}

func (c *setCheck) checkPrefixes() {
	for i := range c.draft.Routes {
		prefix := c.draft.Routes[i].Prefix
		if strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '?' || r == '#' }) {
			c.warnRoute(i, "Prefix", "the prefix %q has a character that is encoded, or ends the path, in a request; the route never matches", prefix)
		} else if strings.Contains(prefix, "/./") || strings.Contains(prefix, "/../") {
			c.warnRoute(i, "Prefix", "the prefix %q has a dot segment, which clients resolve before they send; the route never matches", prefix)
		}
	}
}

// checkReach finds routes that no client may use, and names that stand for several routes.
func (c *setCheck) checkReach() {
	hasKey := false
	for i := range c.draft.Accounts {
		hasKey = hasKey || len(c.draft.Accounts[i].Keys) > 0
	}
	names := value.Set[string]{}
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		if c.draft.RequireKeys && !hasKey && !r.Public {
			c.warnRoute(i, "Public", "the route needs a key and no account has one; every request is rejected")
		}
		if names.Has(r.Name) {
			c.warnRoute(i, "Name", "another route has this name; log lines and metrics don't tell them apart")
		}
		names.Add(r.Name)
	}
}

// checkSplits finds shares that get no requests, and routes whose filters leave no endpoint.
func (c *setCheck) checkSplits() {
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		usable := false
		listed := value.Set[string]{}
		for n, share := range r.Split {
			pool := c.pools[share.Pool]
			switch {
			case share.Weight == 0:
				c.warnRoute(i, fmt.Sprintf("Split[%d].Weight", n), "the weight of pool %s is 0; it gets no requests of the route", share.Pool)
				continue
			case pool.Store != nil:
				c.warnRoute(i, fmt.Sprintf("Split[%d].Pool", n), "pool %s is a store; it answers no requests", share.Pool)
			case pool.Engine != nil && pool.Engine.Slots == 0:
				c.warnRoute(i, fmt.Sprintf("Split[%d].Pool", n), "the engines of pool %s have no slots", share.Pool)
			default:
				usable = true
			}
			if listed.Has(share.Pool) {
				c.warnRoute(i, fmt.Sprintf("Split[%d].Pool", n), "pool %s is listed twice; the weights are added", share.Pool)
			}
			listed.Add(share.Pool)
			c.used.Add(share.Pool)
		}
		if !usable {
			c.warnRoute(i, "Split", "no pool of the route has an endpoint that can run its requests")
		}
	}
}

func (c *setCheck) checkTimes() {
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		for _, objective := range []struct {
			field string
			time  time.Duration
		}{{"Goal", r.Goal}, {"EventGapGoal", r.EventGapGoal}} {
			if objective.time > r.Timeout {
				c.warnRoute(i, objective.field, "the time-out %s is under the objective %s, which can't be missed in time", r.Timeout, objective.time)
			}
		}
		if r.Kind != board.Stream && r.EventGapGoal > 0 {
			c.warnRoute(i, "EventGapGoal", "the objective for pauses between events has no effect: the route's responses are no streams")
		}
		if r.Kind != board.Stream && r.Resumable {
			c.warnRoute(i, "Resumable", "resumption has no effect: the route's responses are no streams")
		}
	}
}

func (c *setCheck) checkAttempts() {
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		switch {
		case r.Attempts <= 1:
		case !r.Repeatable():
			c.warnRoute(i, "Attempts", "%d attempts are allowed, but requests of this kind run at most once", r.Attempts)
		case c.site != nil && c.site.RetryRatio <= 0 && c.site.RetryAllowance <= 0:
			c.warnRoute(i, "Attempts", "%d attempts are allowed, but the deployment's retry budget allows no retry", r.Attempts)
		}
	}
}

func (c *setCheck) checkPools() {
	for i := range c.draft.Pools {
		p := &c.draft.Pools[i]
		if p.Store == nil && !c.used.Has(p.Name) {
			c.warn(fmt.Sprintf("Pools[%d].Name", i), "pool %s: no route sends requests to it", p.Name)
		}
		if p.Engine != nil && p.Conns > 0 && p.Engine.Slots > p.Conns {
			c.warn(fmt.Sprintf("Pools[%d].Conns", i), "pool %s: an engine runs %d requests at once, but all entries together may open %d connections to it", p.Name, p.Engine.Slots, p.Conns)
		}
		if p.ColdTime > 0 && p.ColdRate <= 0 {
			c.warn(fmt.Sprintf("Pools[%d].ColdTime", i), "pool %s: endpoints are cold for %s, but without a rate there is no bound for them", p.Name, p.ColdTime)
		}
		if p.Store != nil && p.Store.Tokens == 0 {
			c.warn(fmt.Sprintf("Pools[%d].Store.Tokens", i), "store %s: the capacity is 0; nothing can be saved there", p.Name)
		}
	}
}

func (c *setCheck) checkAccounts() {
	names := value.Set[string]{}
	for i := range c.draft.Accounts {
		a := &c.draft.Accounts[i]
		if len(a.Keys) == 0 {
			c.warn(fmt.Sprintf("Accounts[%d].Keys", i), "account %s: it has no key; no request can be of this account", a.Name)
		}
		if names.Has(a.Name) {
			c.warn(fmt.Sprintf("Accounts[%d].Name", i), "account %s: another row has this name; each key has the properties of its own row", a.Name)
		}
		names.Add(a.Name)
		for n, k := range a.Keys {
			// The key itself is secret.
			if strings.Trim(k, " \t") != k || strings.ContainsFunc(k, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
				c.warn(fmt.Sprintf("Accounts[%d].Keys[%d]", i, n), "account %s: the key begins or ends with a space, or has a control character; no request can carry it", a.Name)
			}
		}
	}
}

// checkRegions finds regions without a data centre, and routes that an account can't use since their regions differ.
func (c *setCheck) checkRegions() {
	// bound are the accounts by their regions, of which there are few different lists.
	bound := map[string][]*board.Account{}
	for i := range c.draft.Accounts {
		a := &c.draft.Accounts[i]
		c.checkKnown(fmt.Sprintf("Accounts[%d]", i), "account "+a.Name, a.Regions)
		if len(a.Regions) > 0 {
			key := strings.Join(a.Regions, "\x00")
			bound[key] = append(bound[key], a)
		}
	}
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		c.checkKnown(fmt.Sprintf("Routes[%d]", i), "route "+r.Name, r.Regions)
		if len(r.Regions) == 0 {
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(bound)) {
			accounts := bound[key]
			if !slices.ContainsFunc(accounts[0].Regions, func(region string) bool { return slices.Contains(r.Regions, region) }) {
				c.warnRoute(i, "Regions", "no region in common with account %s (and %d others with its regions); their requests are rejected", accounts[0].Name, len(accounts)-1)
			}
		}
	}
}

func (c *setCheck) checkKnown(path, what string, regions []string) {
	for n, region := range regions {
		if c.site != nil && !slices.Contains(c.site.Regions, region) {
			c.warn(fmt.Sprintf("%s.Regions[%d]", path, n), "%s: the region %q has no data centre", what, region)
		}
	}
}
