package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("origin")
	// Malformed reports an encoded register that can't be decoded.
	Malformed = namespace.NewType("malformed")
)

const (
	// spanLength is the time for which one span of the register takes starts.
	spanLength = 15 * time.Second
	// maxStarts bounds the starts in a register; beyond it the oldest span is dropped.
	maxStarts = 1 << 20
	// maxSpanBuilds bounds the builds of one span, whose numbers have one byte.
	maxSpanBuilds = 254
	// startBytes is the length of an encoded start: its key and its attempt. A saved one has the number of its build, too.
	startBytes, savedBytes = 9, 10
)

// Key identifies the client attempt that began a stream. Different attempts don't have the same by chance.
type Key uint64

// KeyOf returns the key of a client attempt by its ID, which is unique within its client account.
func KeyOf(account, id string) Key {
	sum := sha256.Sum256([]byte(account + "\x00" + id))
	return Key(binary.BigEndian.Uint64(sum[:]))
}

// Start says that a stream is about to begin at a build. Attempt counts the endpoints that its request is sent to, from one: until one of
// them has brought an event, the stream may begin at the next, and the report of the highest attempt holds. Zero stands for a stream that
// goes on where it began.
type Start struct {
	Key     Key
	Build   Build
	Attempt uint8
}

// Starts are starts at one build, encoded for the log.
type Starts struct {
	Build
	// Encoded holds for each start its key, in big-endian order of bytes, and its attempt.
	Encoded []byte `json:"starts"`
}

// Encode groups starts by build.
func Encode(starts []Start) []Starts {
	encoded := map[Build][]byte{}
	for _, s := range starts {
		encoded[s.Build] = append(binary.BigEndian.AppendUint64(encoded[s.Build], uint64(s.Key)), s.Attempt)
	}
	var groups []Starts
	for _, b := range slices.SortedFunc(maps.Keys(encoded), Build.Compare) {
		groups = append(groups, Starts{Build: b, Encoded: encoded[b]})
	}
	return groups
}

// Decode returns the starts; bytes that are no whole start are ignored.
func (s Starts) Decode() []Start {
	starts := make([]Start, 0, len(s.Encoded)/startBytes)
	for rest := s.Encoded; len(rest) >= startBytes; rest = rest[startBytes:] {
		starts = append(starts, Start{Key: Key(binary.BigEndian.Uint64(rest)), Build: s.Build, Attempt: rest[startBytes-1]})
	}
	return starts
}

// Register holds at which build streams began, for MaxAge after each was last reported. Equal sequences of calls to Record
// produce equal registers. It is safe for concurrent use.
type Register struct {
	// mu guards spans, which are in order of time.
	mu    sync.RWMutex
	spans []*span
}

// span holds the starts that were reported in one spanLength. Its builds are numbered from one.
type span struct {
	from   time.Time
	builds []Build
	starts map[Key]numbered
}

// numbered is a start at the build with a number, or at contradicted.
type numbered struct{ number, attempt uint8 }

// contradicted is the number of no build: equal attempts were reported at different ones.
const contradicted = 0

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{} }

// Record adds starts that were reported at the group time now. A stream of which one attempt was reported at two builds counts as
// unknown.
func (r *Register) Record(groups []Starts, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if len(r.spans) == 0 || now.Sub(r.spans[len(r.spans)-1].from) >= spanLength {
		r.spans = append(r.spans, &span{from: now, starts: map[Key]numbered{}})
	}
	latest := r.spans[len(r.spans)-1]
	for _, g := range groups {
		for _, s := range g.Decode() {
			if before, ok := r.find(s.Key); ok && before.Attempt >= s.Attempt {
				if before.Attempt == s.Attempt && before.Build != s.Build {
					before.Build = Build{}
				}
				s = before
			}
			latest.starts[s.Key] = numbered{latest.number(s.Build), s.Attempt}
		}
	}
}

// expire drops the spans that are too old, and the oldest ones of too many starts. The caller holds mu.
func (r *Register) expire(now time.Time) {
	total := 0
	for _, s := range r.spans {
		total += len(s.starts)
	}
	for len(r.spans) > 0 && (now.Sub(r.spans[0].from) >= MaxAge+spanLength || total > maxStarts) {
		total -= len(r.spans[0].starts)
		r.spans = r.spans[1:]
	}
}

// number returns the number of a build in the span; contradicted for none, or if it has too many.
func (s *span) number(b Build) uint8 {
	if b == (Build{}) {
		return contradicted
	}
	at := slices.Index(s.builds, b)
	if at < 0 {
		if len(s.builds) >= maxSpanBuilds {
			return contradicted
		}
		at = len(s.builds)
		s.builds = append(s.builds, b)
	}
	return uint8(at + 1)
}

// Find returns the build at which a stream began.
func (r *Register) Find(key Key) (Build, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s, ok := r.find(key)
	return s.Build, ok && s.Build != Build{}
}

// find returns the start of a stream by its latest report, with the zero Build if reports contradict each other. The caller holds mu.
func (r *Register) find(key Key) (Start, bool) {
	for _, s := range slices.Backward(r.spans) {
		if n, ok := s.starts[key]; ok {
			start := Start{Key: key, Attempt: n.attempt}
			if n.number != contradicted {
				start.Build = s.builds[n.number-1]
			}
			return start, true
		}
	}
	return Start{}, false
}

// Len returns the number of starts in the register.
func (r *Register) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	total := 0
	for _, s := range r.spans {
		total += len(s.starts)
	}
	return total
}

// savedSpan is the encoded form of a span; Starts has a key, the number of a build and an attempt for each.
type savedSpan struct {
	From   time.Time `json:"from"`
	Builds []Build   `json:"builds"`
	Starts []byte    `json:"starts"`
}

// MarshalJSON implements json.Marshaler; equal registers have the same form.
func (r *Register) MarshalJSON() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	saved := make([]savedSpan, 0, len(r.spans))
	for _, s := range r.spans {
		data := make([]byte, 0, len(s.starts)*savedBytes)
		for _, key := range slices.Sorted(maps.Keys(s.starts)) {
			n := s.starts[key]
			data = append(binary.BigEndian.AppendUint64(data, uint64(key)), n.number, n.attempt)
		}
		saved = append(saved, savedSpan{s.from, s.builds, data})
	}
	return json.Marshal(saved)
}

// UnmarshalJSON implements json.Unmarshaler. After an error of type Malformed the register is unchanged.
func (r *Register) UnmarshalJSON(data []byte) error {
	var saved []savedSpan
	if err := json.Unmarshal(data, &saved); err != nil {
		return Malformed.Wrap(err, "decode the starts of streams")
	}
	var spans []*span
	for _, v := range saved {
		s := &span{from: v.From, builds: v.Builds, starts: map[Key]numbered{}}
		for rest := v.Starts; len(rest) >= savedBytes; rest = rest[savedBytes:] {
			n := numbered{rest[savedBytes-2], rest[savedBytes-1]}
			if int(n.number) > len(s.builds) {
				return Malformed.New("decode the starts of streams: one has the build %d of %d", n.number, len(s.builds))
			}
			s.starts[Key(binary.BigEndian.Uint64(rest))] = n
		}
		spans = append(spans, s)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans = spans
	return nil
}
