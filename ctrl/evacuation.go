package ctrl

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/clock"
	"egretshunt/disk"
	"egretshunt/event"
	"egretshunt/table"
)

// evacuationMemory is how long the end of an evacuation is kept. Entries need it for some seconds, while endpoints there may
// be cold; operators see it for longer.
const evacuationMemory = time.Hour

// Evacuation is a command to begin or end the evacuation of a place. The latest in the log wins: a command that the state
// already agrees with changes nothing.
type Evacuation struct {
	Place string `json:"place"`
	End   bool   `json:"end,omitempty"`
	// Operator and From name the operator and his address in the audit trail.
	Operator string `json:"who,omitempty"`
	From     string `json:"from,omitempty"`
}

// EvacuationResult is the result of an Evacuation.
type EvacuationResult struct {
	// Changed is false if the place was in the wanted state before.
	Changed bool `json:"changed,omitempty"`
	// Places are the places that are evacuated afterwards.
	Places []string `json:"places,omitempty"`
}

// PlaceState says whether a place is evacuated, and when that changed last.
type PlaceState struct {
	Place     string `json:"place"`
	Evacuated bool   `json:"evacuated,omitempty"`
	// At is the group time at which the evacuation began or, if it has ended, ended.
	At time.Time `json:"at"`
}

// findPlace returns the index of a place in a list sorted by place, or where it belongs.
func findPlace(states []PlaceState, place string) (at int, found bool) {
	return slices.BinarySearchFunc(states, place, func(s PlaceState, name string) int { return strings.Compare(s.Place, name) })
}

// Place returns the state of a place; false if it isn't evacuated and wasn't lately.
func (v *View) Place(place string) (PlaceState, bool) {
	at, found := findPlace(v.Places, place)
	if !found {
		return PlaceState{}, false
	}
	return v.Places[at], true
}

// IsEvacuated reports whether nothing new is to be sent to the endpoints of a place.
func (v *View) IsEvacuated(place string) bool {
	s, _ := v.Place(place)
	return s.Evacuated
}

// Evacuated returns the evacuated places, sorted.
func (v *View) Evacuated() []string {
	var places []string
	for _, s := range v.Places {
		if s.Evacuated {
			places = append(places, s.Place)
		}
	}
	return places
}

// applyEvacuation begins or ends the evacuation of a place.
func (m *Machine) applyEvacuation(index uint64, e Evacuation) Result {
	op := "evacuate"
	if e.End {
		op = "readmit"
	}
	m.tables.AppendAudit(table.AuditRecord{At: m.now, Operator: e.Operator, From: e.From, Table: "evacuations", Name: e.Place, Op: op})
	changed := m.view.IsEvacuated(e.Place) == e.End
	if changed {
		next := *m.view
		next.Places = withPlace(m.view.Places, PlaceState{Place: e.Place, Evacuated: !e.End, At: m.now})
		m.publishView(index, &next)
	}
	return Result{Evacuation: &EvacuationResult{Changed: changed, Places: m.view.Evacuated()}}
}

// emitEvacuation emits the event of an accepted Evacuation, and a warning if no pool of the tables is left.
func (n *Node) emitEvacuation(e Evacuation, r EvacuationResult) {
	n.config.Events.Emit(event.EvacuationAccepted, "place", e.Place, "evacuated", !e.End, "changed", r.Changed, "who", e.Operator, "from", e.From)
	pools, left := 0, 0
	for _, p := range n.machine.tables.Tables().Pools {
		pools++
		if !slices.Contains(r.Places, p.Place) {
			left++
		}
	}
	if !e.End && pools > 0 && left == 0 {
		n.config.Events.Emit(event.AllEvacuated, "count", len(r.Places))
	}
}

// withPlace returns a copy of a list with a new state of one place, without evacuations that ended long before it.
func withPlace(states []PlaceState, s PlaceState) []PlaceState {
	next := slices.Clone(states)
	if at, found := findPlace(next, s.Place); found {
		next[at] = s
	} else {
		next = slices.Insert(next, at, s)
	}
	return slices.DeleteFunc(next, func(old PlaceState) bool { return !old.Evacuated && s.At.Sub(old.At) > evacuationMemory })
}

// SinceEvacuation returns how long ago, or a little less, the latest evacuation of a place ended; false if the place is evacuated
// or wasn't lately. It is zero while this process doesn't know the group time. A pause of the group time, in which no
// control VM ran, isn't counted.
func (f *Feed) SinceEvacuation(place string) (ago time.Duration, ok bool) {
	s, ok := f.View().Place(place)
	if !ok || s.Evacuated {
		return 0, false
	}
	offset := f.groupClock.Load()
	if offset == 0 {
		return 0, true
	}
	// The offset is of a response's arrival, and so at most the group time's.
	return max(time.Unix(0, offset+int64(clock.Now())).Sub(s.At), 0), true
}

// reportPlaces logs what a newly installed view changes for each place.
func reportPlaces(events *event.Log, former, next *View) {
	for _, s := range next.Places {
		if old, _ := former.Place(s.Place); old.Evacuated != s.Evacuated {
			events.Emit(event.EvacuationInstalled, "place", s.Place, "evacuated", s.Evacuated, "view", next.Rev)
		}
	}
	for _, old := range former.Places {
		if _, kept := next.Place(old.Place); old.Evacuated && !kept {
			events.Emit(event.EvacuationInstalled, "place", old.Place, "evacuated", false, "view", next.Rev)
		}
	}
}

// placesFile is the name of the file that holds the installed places.
const placesFile = "places"

// savePlaces writes the places of a new view to disk, if they differ, as tables are: a node that restarts without control goes on with
// its tables, and must not send to what was evacuated.
func (f *Follower) savePlaces(former, next *View) error {
	if slices.EqualFunc(former.Places, next.Places, func(a, b PlaceState) bool { return a.Place == b.Place && a.Evacuated == b.Evacuated }) {
		return nil
	}
	_, err := f.persist(f.placeSaves, placesFile, next.Places)
	return err
}

// loadPlaces restores the places into the first view, which any view of control replaces.
func (f *Follower) loadPlaces() {
	if f.config.FS == nil {
		return
	}
	data, err := disk.Load(f.config.FS, placesFile)
	if errorx.IsOfType(err, disk.Missing) {
		return
	}
	first := *f.View()
	if err == nil {
		err = json.Unmarshal(data, &first.Places)
	}
	if err != nil {
		f.config.Events.Emit(event.Damaged, "file", placesFile, "err", err)
		return
	}
	f.view.Store(&first)
}
