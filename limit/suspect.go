package limit

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("limit")
	// Malformed reports a snapshot that can't be read.
	Malformed = namespace.NewType("malformed")
)

const (
	// Convictions is how many crashes a request may cause before it is refused.
	Convictions = 2
	// Quarantine is how long a convicted request is refused.
	Quarantine = 10 * time.Minute
	// Suspicion is how long a request that was in flight at a crash must run alone.
	Suspicion = 10 * time.Minute
	// TrialTime is how long one solitary run keeps others of the same content waiting.
	TrialTime = 2 * time.Minute
	// maxSuspects bounds the list; the oldest go first.
	maxSuspects = 2048
)

// Suspect is a request, known by account and content, that ran when an endpoint crashed.
type Suspect struct {
	Account string `json:"account"`
	Print   string `json:"print"`
	// Crashes counts crashes that it was part of.
	Crashes int `json:"crashes"`
	// Shared counts those of them at which other requests ran beside it.
	Shared int       `json:"shared"`
	At     time.Time `json:"at"`
	// Refused is until when it is not run at all; zero while it is only suspected.
	Refused time.Time `json:"refused,omitzero"`
	// Trial is until when one solitary run is under way, and Holder whose it is.
	Trial  time.Time `json:"trial,omitzero"`
	Holder string    `json:"holder,omitempty"`
	// Crash is the identity of the last crash counted.
	Crash string `json:"crash,omitempty"`
}

// Ops on suspects.
const (
	OpCrash  = "crash"
	OpTrial  = "trial"
	OpClear  = "clear"
	OpPardon = "pardon"
)

// Command changes the suspects.
type Command struct {
	Op      string    `json:"op"`
	Account string    `json:"account"`
	Prints  []string  `json:"prints"`
	Crash   string    `json:"crash,omitempty"`
	Holder  string    `json:"holder,omitempty"`
	At      time.Time `json:"at"`
	Who     string    `json:"who,omitempty"`
	// Accounts pairs with Prints when a crash hit requests of several accounts.
	Accounts []string `json:"accounts,omitempty"`
}

// Verdict on a request about to run.
type Verdict int

// Verdicts.
const (
	// Run: nothing speaks against it.
	Run Verdict = iota
	// Alone: it may run only with nothing beside it, under a trial.
	Alone
	// Refuse: it crashed endpoints and is refused for a while.
	Refuse
	// Wait: another solitary run of it is under way.
	Wait
)

// Suspects is the replicated list. A published list is immutable; Apply clones it.
type Suspects struct {
	list map[string]Suspect
}

// NewSuspects returns an empty list.
func NewSuspects() *Suspects { return &Suspects{list: map[string]Suspect{}} }

func suspectKey(account, print string) string { return account + "\x00" + print }

// Judge tells how a request may run.
func (s *Suspects) Judge(account, print string, now time.Time) (Verdict, Suspect) {
	if s == nil {
		return Run, Suspect{}
	}
	p, ok := s.list[suspectKey(account, print)]
	switch {
	case !ok || (now.Sub(p.At) > Suspicion && now.After(p.Refused)):
		return Run, p
	case now.Before(p.Refused):
		return Refuse, p
	case now.Before(p.Trial):
		return Wait, p
	}
	return Alone, p
}

// Apply returns the list after the command, and the verdict on the first print.
func (s *Suspects) Apply(c Command) (*Suspects, Verdict) {
	next := &Suspects{list: make(map[string]Suspect, len(s.list)+len(c.Prints))}
	for k, v := range s.list {
		if c.At.Sub(v.At) <= Suspicion || c.At.Before(v.Refused) {
			next.list[k] = v
		}
	}
	verdict := Run
	for i, print := range c.Prints {
		account := c.Account
		if i < len(c.Accounts) {
			account = c.Accounts[i]
		}
		got := next.apply(c, account, print)
		if i == 0 {
			verdict = got
		}
	}
	next.trim()
	return next, verdict
}

func (s *Suspects) apply(c Command, account, print string) Verdict {
	k := suspectKey(account, print)
	p, ok := s.list[k]
	switch c.Op {
	case OpCrash:
		s.list[k] = crashed(p, c, account, print)
	case OpTrial:
		verdict, _ := s.Judge(account, print, c.At)
		if verdict == Wait && p.Holder == c.Holder {
			return Alone
		}
		if verdict == Alone {
			p.Trial, p.Holder = c.At.Add(TrialTime), c.Holder
			s.list[k] = p
		}
		return verdict
	case OpClear:
		if ok && p.Holder == c.Holder {
			delete(s.list, k)
		}
	case OpPardon:
		delete(s.list, k)
	}
	return Run
}

// crashed counts one crash once, however many entries report it.
func crashed(p Suspect, c Command, account, print string) Suspect {
	if p.Crash == c.Crash && c.Crash != "" {
		return p
	}
	p.Account, p.Print, p.At, p.Crash = account, print, c.At, c.Crash
	p.Trial, p.Holder = time.Time{}, ""
	p.Crashes++
	if len(c.Prints) > 1 {
		p.Shared++
	}
	// Only a request that crashed an endpoint with nothing beside it is to blame.
	if p.Crashes >= Convictions && p.Crashes > p.Shared {
		p.Refused = c.At.Add(Quarantine)
	}
	return p
}

func (s *Suspects) trim() {
	for len(s.list) > maxSuspects {
		oldest := ""
		for k, v := range s.list {
			if oldest == "" || v.At.Before(s.list[oldest].At) || (v.At.Equal(s.list[oldest].At) && k < oldest) {
				oldest = k
			}
		}
		delete(s.list, oldest)
	}
}

// All returns the list in no order.
func (s *Suspects) All() []Suspect {
	all := make([]Suspect, 0, len(s.list))
	for _, p := range s.list {
		all = append(all, p)
	}
	return all
}

// MarshalJSON writes the list.
func (s *Suspects) MarshalJSON() ([]byte, error) { return json.Marshal(s.All()) }

// UnmarshalJSON replaces the list.
func (s *Suspects) UnmarshalJSON(data []byte) error {
	var all []Suspect
	if err := json.Unmarshal(data, &all); err != nil {
		return Malformed.Wrap(err, "read suspects")
	}
	s.list = make(map[string]Suspect, len(all))
	for _, p := range all {
		s.list[suspectKey(p.Account, p.Print)] = p
	}
	return nil
}
