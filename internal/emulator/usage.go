package emulator

import (
	"runtime"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// readUsage measures this process and the traffic of its daemons.
func readUsage(daemons map[string]*daemon) usage {
	read := usage{
		CPU: cpuSeconds(),
		In:  map[string]int64{},
		Out: map[string]int64{},
	}
	for name, daemon := range daemons {
		read.In[name] = daemon.network.received.Load()
		read.Out[name] = daemon.network.sent.Load()
	}
	debug.FreeOSMemory()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	read.Heap = float64(memory.HeapAlloc)
	read.Stacks = float64(memory.StackInuse)
	read.Tasks = runtime.NumGoroutine()
	read.CPUAfter = cpuSeconds()
	return read
}

// cpuSeconds is the processor time of this process.
func cpuSeconds() float64 {
	var used unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &used)
	seconds := float64(used.Utime.Sec + used.Stime.Sec)
	micros := float64(used.Utime.Usec + used.Stime.Usec)
	return seconds + micros/1e6
}

// heapBytes is the live heap of this process.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // what the first one finalized
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}

// cost measures the heap that f's result holds and the processor time that f takes.
func cost(f func() any) (heap, cpu float64) {
	heapBefore := heapBytes()
	cpuBefore := cpuSeconds()
	held := f()
	cpu = cpuSeconds() - cpuBefore
	heap = heapBytes() - heapBefore
	runtime.KeepAlive(held)
	return heap, cpu
}
