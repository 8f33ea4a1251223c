package emulator

import (
	"net/http"
	"sync"
)

// Unlimited is the counter value of a fault that stays active until it is switched off. Any negative value means the same.
const Unlimited = -1

// faultState holds the current faults of a stand-in; F is their type. The zero value has the zero faults. It is safe for
// concurrent use.
type faultState[F any] struct {
	mu       sync.Mutex
	faults   F
	onChange func(F) // called after set; may be nil
}

// get returns the current faults.
func (s *faultState[F]) get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// set replaces the faults and calls onChange.
func (s *faultState[F]) set(faults F) {
	s.mu.Lock()
	s.faults = faults
	onChange := s.onChange
	s.mu.Unlock()
	if onChange != nil {
		onChange(faults)
	}
}

// consume reports whether the fault with the given counter is active, and decrements the counter if it is positive.
// A negative counter never runs out.
func (s *faultState[F]) consume(counter func(*F) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := counter(&s.faults)
	if *count == 0 {
		return false
	}
	if *count > 0 {
		*count--
	}
	return true
}

// serveAdmin answers GET with the current faults. POST changes only the faults that are present in its JSON body, and
// answers with the result.
func (s *faultState[F]) serveAdmin(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		faults := s.get()
		if !decodeAdminBody(w, r, &faults) {
			return
		}
		s.set(faults)
	}
	writeJSON(w, http.StatusOK, s.get())
}
