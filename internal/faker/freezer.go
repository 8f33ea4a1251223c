package faker

import "sync"

// freezer holds everything that a frozen backend server would do. The zero freezer is thawed.
type freezer struct {
	mu     sync.Mutex
	thawed chan struct{}
}

// set freezes or thaws.
func (f *freezer) set(frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if frozen && f.thawed == nil {
		f.thawed = make(chan struct{})
	}
	if !frozen && f.thawed != nil {
		close(f.thawed)
		f.thawed = nil
	}
}

// wait returns when nothing is frozen.
func (f *freezer) wait() {
	for {
		f.mu.Lock()
		thawed := f.thawed
		f.mu.Unlock()
		if thawed == nil {
			return
		}
		<-thawed
	}
}
