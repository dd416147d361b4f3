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
	// keyBytes is the length of an encoded key.
	keyBytes = 8
)

// Key identifies the client attempt that began a stream. Different attempts don't have the same by chance.
type Key uint64

// KeyOf returns the key of a client attempt by its ID, which is unique within its client account.
func KeyOf(account, id string) Key {
	sum := sha256.Sum256([]byte(account + "\x00" + id))
	return Key(binary.BigEndian.Uint64(sum[:]))
}

// Start is the begin of a stream at a build.
type Start struct {
	Key   Key
	Build Build
}

// Starts are starts at one build, encoded for the log.
type Starts struct {
	Build
	// Keys holds the keys in big-endian order of bytes, one after the other.
	Keys []byte `json:"keys"`
}

// Encode groups starts by build.
func Encode(starts []Start) []Starts {
	keys := map[Build][]byte{}
	for _, s := range starts {
		keys[s.Build] = binary.BigEndian.AppendUint64(keys[s.Build], uint64(s.Key))
	}
	var groups []Starts
	for _, b := range slices.SortedFunc(maps.Keys(keys), Build.Compare) {
		groups = append(groups, Starts{Build: b, Keys: keys[b]})
	}
	return groups
}

// Decode returns the starts; bytes that are no whole key are ignored.
func (s Starts) Decode() []Start {
	starts := make([]Start, 0, len(s.Keys)/keyBytes)
	for keys := s.Keys; len(keys) >= keyBytes; keys = keys[keyBytes:] {
		starts = append(starts, Start{Key(binary.BigEndian.Uint64(keys)), s.Build})
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

// span holds the starts that were reported in one spanLength. The builds are numbered from one; zero stands for contradicting
// reports.
type span struct {
	from   time.Time
	builds []Build
	starts map[Key]uint8
}

// contradicted is the number of no build.
const contradicted = 0

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{} }

// Record adds starts that were reported at the group time now. A stream that was reported at another build before counts as
// unknown from then on.
func (r *Register) Record(groups []Starts, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if len(r.spans) == 0 || now.Sub(r.spans[len(r.spans)-1].from) >= spanLength {
		r.spans = append(r.spans, &span{from: now, starts: map[Key]uint8{}})
	}
	latest := r.spans[len(r.spans)-1]
	for _, g := range groups {
		number := latest.number(g.Build)
		for _, s := range g.Decode() {
			if before, ok := r.find(s.Key); ok && before != s.Build {
				latest.starts[s.Key] = contradicted
			} else {
				latest.starts[s.Key] = number
			}
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

// number returns the number of a build in the span; contradicted if it has too many.
func (s *span) number(b Build) uint8 {
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
	b, ok := r.find(key)
	return b, ok && b != Build{}
}

// find returns the build of the latest report, the zero Build if reports contradict each other. The caller holds mu.
func (r *Register) find(key Key) (Build, bool) {
	for _, s := range slices.Backward(r.spans) {
		if number, ok := s.starts[key]; ok {
			if number == contradicted {
				return Build{}, true
			}
			return s.builds[number-1], true
		}
	}
	return Build{}, false
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

// savedSpan is the encoded form of a span; Starts has a key and a number for each.
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
		data := make([]byte, 0, len(s.starts)*(keyBytes+1))
		for _, key := range slices.Sorted(maps.Keys(s.starts)) {
			data = append(binary.BigEndian.AppendUint64(data, uint64(key)), s.starts[key])
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
		s := &span{from: v.From, builds: v.Builds, starts: map[Key]uint8{}}
		for rest := v.Starts; len(rest) > keyBytes; rest = rest[keyBytes+1:] {
			number := rest[keyBytes]
			if int(number) > len(s.builds) {
				return Malformed.New("decode the starts of streams: one has the build %d of %d", number, len(s.builds))
			}
			s.starts[Key(binary.BigEndian.Uint64(rest))] = number
		}
		spans = append(spans, s)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans = spans
	return nil
}
