package pass_test

import (
	"testing"
	"time"

	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/pass"
)

// withoutAccounts makes a set need no keys at all.
func withoutAccounts(d *board.Draft) { d.RequireKeys, d.Accounts = false, nil }

// changingFixture returns a fixture whose table set is replaced by a second one once its view has changed. Until then its lease is over.
func changingFixture(t *testing.T, before, after func(*board.Draft)) (*fixture, *changingView) {
	t.Helper()
	sets := map[string]*board.Set{}
	for body, change := range map[string]func(*board.Draft){"": before, "2": after} {
		d := fixtureDraft()
		d.Number += uint64(len(body))
		change(&d)
		var err error
		sets[body], err = board.New(d)
		check.NoError(t, err)
	}
	view := &changingView{next: &ctrl.View{Set: &ctrl.TableSetDocument{Number: 2, Body: []byte("2")}}}
	view.stale.Store(true)
	fx := newFixtureWith(t, pass.Config{RolloutTimeout: time.Hour, View: view, Decode: func(body []byte) (*board.Set, error) {
		if view.onDecode != nil {
			view.onDecode()
		}
		return sets[string(body)], nil
	}}, respondWith(200, eventA))
	view.nextList = fx.feed.list
	return fx, view
}

// Guards against requests that ran though their key had been revoked: the entry's tables, whose lease was over, needed no key.
func TestRequestWithKeyNeedsLease(t *testing.T) {
	keep := func(*board.Draft) {}
	for name, c := range map[string]struct {
		change    func(*board.Draft)
		path, key string
		// status is that once the lease is over, leased that while it runs.
		status, leased int
	}{
		"public route":                      {keep, "/public/x", "k", 503, 200},
		"public route, key unknown":         {keep, "/public/x", "nobody's", 503, 200},
		"public route, isolated account":    {keep, "/public/x", "i", 503, 200},
		"no accounts":                       {withoutAccounts, "/once/x", "k", 503, 200},
		"no accounts, public route":         {withoutAccounts, "/public/x", "k", 503, 200},
		"route with key":                    {keep, "/once/x", "k", 503, 200},
		"stream":                            {withoutAccounts, "/resume/x", "k", 503, 200},
		"public route without key":          {keep, "/public/x", "", 200, 200},
		"no accounts, without key":          {withoutAccounts, "/once/x", "", 200, 200},
		"route with key, request has none":  {keep, "/once/x", "", 503, 401},
		"unknown route, request has no key": {withoutAccounts, "/none/x", "", 503, 404},
	} {
		t.Run(name, func(t *testing.T) {
			fx, view := changingFixture(t, c.change, c.change)
			got, _ := fx.call(c.path, c.key, func(call *pass.Call) {
				if c.status == 503 {
					// It waits for control until then.
					call.ClientTimeout = 100 * time.Millisecond
				}
			})
			check.Equal(t, "status", got.Code, c.status)
			check.Equal(t, "sent", len(fx.backend.sends) > 0, c.status == 200)
			if c.status == 503 {
				checkRejected(t, got, "control can't be reached")
			}
			view.stale.Store(false)
			got, _ = fx.call(c.path, c.key)
			check.Equal(t, "status with a lease", got.Code, c.leased)
		})
	}
}

// Guards against an answer by the old tables to a request that waits for control.
func TestRequestWithKeyWaitsForLease(t *testing.T) {
	for name, c := range map[string]struct {
		after  func(*board.Draft)
		status int
	}{
		"nothing changed": {func(*board.Draft) {}, 200},
		"key revoked, route not public": {func(d *board.Draft) {
			d.Accounts[0].Keys = []string{"k-secret"}
			d.Routes[4].Public = false
		}, 401},
		"key revoked, another route takes the path": {func(d *board.Draft) {
			d.Accounts[0].Keys = []string{"k-secret"}
			hidden := d.Routes[4]
			hidden.Name, hidden.Prefix, hidden.Public = "inner", "/public/x/", false
			d.Routes = append(d.Routes, hidden)
		}, 401},
		"route removed": {func(d *board.Draft) { d.Routes = d.Routes[:4] }, 404},
	} {
		t.Run(name, func(t *testing.T) {
			fx, view := changingFixture(t, func(*board.Draft) {}, c.after)
			reads := 0
			view.onSnapshot = func() {
				if reads++; reads == 2 {
					check.Equal(t, "sends by the old tables", len(fx.backend.sends), 0)
					view.changed.Store(true)
					view.stale.Store(false)
				}
			}
			got, _ := fx.call("/public/x/y", "k")
			check.Equal(t, "status", got.Code, c.status)
			check.Equal(t, "reads of the tables", reads, 2)
		})
	}
}

// Guards against a request that is judged by the tables from before a sync and takes that sync for their confirmation: the entry was
// suspended, or busy decoding, between the two.
func TestSyncConfirmsNoEarlierTables(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		after     func(*board.Draft)
		status    int
	}{
		"key revoked":   {"/once/x", "k", func(d *board.Draft) { d.Accounts[0].Keys = []string{"k-secret"} }, 401},
		"key added":     {"/once/x", "new", func(d *board.Draft) { d.Accounts[0].Keys = []string{"k", "new"} }, 200},
		"route closed":  {"/public/x", "k", func(d *board.Draft) { d.Accounts[0].Keys, d.Routes[4].Public = nil, false }, 401},
		"route removed": {"/safe/x", "k", func(d *board.Draft) { d.Routes = d.Routes[1:] }, 404},
		"route added": {"/new/x", "k", func(d *board.Draft) {
			d.Routes[0].Prefix = "/new/"
		}, 200},
	} {
		t.Run(name, func(t *testing.T) {
			fx, view := changingFixture(t, func(*board.Draft) {}, c.after)
			view.onDecode = func() {
				view.changed.Store(true)
				view.stale.Store(false)
			}
			got, _ := fx.call(c.path, c.key)
			check.Equal(t, "status", got.Code, c.status)
			check.Equal(t, "sent", len(fx.backend.sends) > 0, c.status == 200)
		})
	}
}

// Guards against requests that are judged by keys and routes that are gone, at an entry that can't decode the newest set though control,
// which may run another build, has confirmed it.
func TestUnreadableTablesEndLease(t *testing.T) {
	const why = "the newest tables can't be read here"
	set, err := board.New(fixtureDraft())
	check.NoError(t, err)
	decodes := map[string]int{}
	fx := newFixtureWith(t, pass.Config{RolloutTimeout: time.Hour, Decode: func(body []byte) (*board.Set, error) {
		decodes[string(body)]++
		if string(body) == "odd" {
			return nil, board.Invalid.New("of another build")
		}
		return set, nil
	}}, respondWith(200, "ok"))
	former := fx.feed.view
	newest := func(number uint64, body string) {
		fx.feed.view = &ctrl.View{Set: &ctrl.TableSetDocument{Number: number, Body: []byte(body)}}
	}
	expect := func(t *testing.T, path, key string, status int) {
		t.Helper()
		sent := len(fx.backend.sends)
		got, _ := fx.call(path, key)
		check.Equal(t, "status of "+path, got.Code, status)
		check.Equal(t, "sent", len(fx.backend.sends) > sent, status == 200)
		if status == 503 {
			checkRejected(t, got, why)
		}
	}
	t.Run("first set", func(t *testing.T) {
		newest(1, "odd")
		expect(t, "/once/x", "k", 503)
		expect(t, "/public/x", "", 503)
		reason, ready := fx.entry.Ready()
		check.Equal(t, "readiness", []any{reason, ready}, []any{why, false})
	})
	t.Run("after another", func(t *testing.T) {
		newest(2, "2")
		expect(t, "/once/x", "k", 200)
		newest(3, "odd")
		for _, path := range []string{"/once/x", "/public/x", "/none/x"} {
			for _, key := range []string{"k", "nobody's"} {
				expect(t, path, key, 503)
			}
		}
		expect(t, "/once/x", "", 503)
		expect(t, "/public/x", "", 200)
		_, ready := fx.entry.Ready()
		check.Equal(t, "ready", ready, false)
		check.Equal(t, "decodes", decodes, map[string]int{"odd": 2, "2": 1})
	})
	t.Run("before another", func(t *testing.T) {
		newest(4, "4")
		expect(t, "/once/x", "k", 200)
		expect(t, "/once/x", "nobody's", 401)
		_, ready := fx.entry.Ready()
		check.Equal(t, "ready", ready, true)
		fx.feed.view = former
		expect(t, "/none/x", "k", 404)
	})
}
