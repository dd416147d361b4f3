package ctrl

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/ledger"
)

var groupStart = time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)

func evacuate(m *Machine, index uint64, at time.Time, e Evacuation) EvacuationResult {
	return *m.Apply(index, Command{Now: at, Evacuation: &e}).Evacuation
}

// Guards against evacuations that are lost in a snapshot, repeats that count as changes, and ends that are kept for ever.
func TestEvacuationState(t *testing.T) {
	m := NewMachine(ledger.Config{})
	check.Equal(t, "first", evacuate(m, 1, groupStart, Evacuation{Place: "b", Operator: "o"}), EvacuationResult{Changed: true, Places: []string{"b"}})
	check.Equal(t, "resend", evacuate(m, 2, groupStart.Add(time.Second), Evacuation{Place: "b"}), EvacuationResult{Places: []string{"b"}})
	check.Equal(t, "time of the first", m.view.Places[0].At, groupStart)
	check.Equal(t, "end of none", evacuate(m, 3, groupStart, Evacuation{Place: "c", End: true}), EvacuationResult{Places: []string{"b"}})
	check.Equal(t, "another", evacuate(m, 4, groupStart, Evacuation{Place: "a"}), EvacuationResult{Changed: true, Places: []string{"a", "b"}})
	rev := m.view.Rev
	data, err := m.Save()
	check.NoError(t, err)
	restored := NewMachine(ledger.Config{})
	check.NoError(t, restored.Restore(data))
	check.Equal(t, "evacuated after a snapshot", restored.view.Evacuated(), []string{"a", "b"})
	check.Equal(t, "revision", restored.view.Rev, rev)

	ended := groupStart.Add(2 * time.Hour)
	check.Equal(t, "end", evacuate(m, 5, ended, Evacuation{Place: "b", End: true}), EvacuationResult{Changed: true, Places: []string{"a"}})
	check.Equal(t, "evacuated", m.view.IsEvacuated("b"), false)
	s, known := m.view.Place("b")
	check.Equal(t, "end is kept", known, true)
	check.Equal(t, "end", s.At, ended)
	evacuate(m, 6, ended.Add(evacuationMemory+time.Second), Evacuation{Place: "a", End: true})
	_, known = m.view.Place("b")
	check.Equal(t, "end is kept for longer", known, false)
	check.Equal(t, "audit records", len(m.tables.Audit()), 6)
}

// Guards against an entry that takes the end of an evacuation for longer ago than it is: endpoints there may still be cold.
func TestSinceEvacuation(t *testing.T) {
	f := &Feed{}
	since := func(place string) time.Duration {
		t.Helper()
		ago, ok := f.SinceEvacuation(place)
		check.Equal(t, "known", ok, true)
		return ago
	}
	f.confirmed.Store(&confirmedView{view: &View{Places: []PlaceState{{Place: "a", At: groupStart}, {Place: "b", Evacuated: true, At: groupStart}}}})
	check.Equal(t, "without the group time", since("a"), time.Duration(0))
	f.groupClock.Store(groupStart.Add(2*time.Second).UnixNano() - int64(clock.Now()))
	check.Equal(t, "after two seconds", since("a") >= 2*time.Second && since("a") < 3*time.Second, true)
	f.groupClock.Store(groupStart.Add(-time.Second).UnixNano() - int64(clock.Now()))
	check.Equal(t, "by a clock that is behind", since("a"), time.Duration(0))
	for _, place := range []string{"b", "c"} {
		_, ok := f.SinceEvacuation(place)
		check.Equal(t, "ended in "+place, ok, false)
	}
}

// Guards against entries whose log doesn't say when an evacuation began or ended there, or says so again with each view.
func TestInstalledEvacuationsAreLogged(t *testing.T) {
	view := func(places ...PlaceState) *View { return &View{Rev: 7, Places: places} }
	a, b := PlaceState{Place: "a", Evacuated: true, At: groupStart}, PlaceState{Place: "b", Evacuated: true, At: groupStart}
	ended := PlaceState{Place: "a", At: groupStart.Add(time.Minute)}
	for name, c := range map[string]struct {
		former, next *View
		want         []string
	}{
		"begins":         {view(), view(a, b), []string{"place=a evacuated=true", "place=b evacuated=true"}},
		"goes on":        {view(a, b), view(a, b), nil},
		"ends":           {view(a, b), view(ended, b), []string{"place=a evacuated=false"}},
		"ended long ago": {view(a, b), view(b), []string{"place=a evacuated=false"}},
		"is forgotten":   {view(ended), view(), nil},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			reportPlaces(event.New(event.Config{Out: &out, Node: "n"}), c.former, c.next)
			check.Equal(t, "lines", strings.Count(out.String(), "name=evacinstalled"), len(c.want))
			for _, text := range c.want {
				check.Equal(t, text+" in "+out.String(), strings.Contains(out.String(), text), true)
			}
		})
	}
}
