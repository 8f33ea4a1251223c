package surveyor

import (
	"runtime"
	"syscall"
	"time"
)

// A processor time is the least of several tries, each of which takes at least leastCPU, so that the grain of the clock
// and what else the machine does matter little.
const (
	cpuTries = 3
	leastCPU = 60 * time.Millisecond
)

// processCPU returns the processor time of this process, garbage collection included.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peakMemory returns the greatest resident size of this process, in kibibytes.
func peakMemory() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return usage.Maxrss
}

// cpuOf returns the processor time of one do.
func cpuOf(do func()) time.Duration {
	least := tryCPU(do)
	for range cpuTries - 1 {
		least = min(least, tryCPU(do))
	}
	return least
}

func tryCPU(do func()) time.Duration {
	runtime.GC()
	times := 0
	start := processCPU()
	for {
		do()
		times++
		if used := processCPU() - start; used >= leastCPU {
			return used / time.Duration(times)
		}
	}
}

// heapOf returns the bytes that what make returns keeps in memory, one of several copies.
func heapOf(make func() any) float64 {
	const copies = 4
	kept := [copies]any{}
	before := liveHeap()
	for i := range kept {
		kept[i] = make()
	}
	after := liveHeap()
	runtime.KeepAlive(&kept)
	return (float64(after) - float64(before)) / copies
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func seconds(d time.Duration) float64 { return d.Seconds() }

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
