package metrics

import (
	"bytes"
	"os"
	"strconv"
	"time"
)

const (
	bytesPerMiB = 1 << 20
	// statmFile has the memory of the process in pages; its second field is what is resident.
	statmFile     = "/proc/self/statm"
	residentField = 1
)

// processStart is when the process was started, nearly.
var processStart = time.Now()

// Uptime is how long the process has been running.
func Uptime() time.Duration { return time.Since(processStart) }

// Process are samples of the process itself: its memory beside the limit of limits.memory_mb, and how long it has been
// running. Resident memory is left out where the system does not tell it.
func Process(program string, memoryMB float64) []Sample {
	samples := []Sample{
		{Name: program + "_uptime_seconds", Help: "Time since the start of the process.", Value: Uptime().Seconds()},
		{Name: program + "_memory_limit_bytes", Help: "Memory beyond which the process is ended, by limits.memory_mb.", Value: memoryMB * bytesPerMiB},
	}
	resident, ok := ResidentBytes()
	if !ok {
		return samples
	}
	return append(samples, Sample{
		Name:  program + "_memory_resident_bytes",
		Help:  "Memory of the process that is resident.",
		Value: resident,
	})
}

// ResidentBytes is the resident memory of this process; false where the system does not tell it.
func ResidentBytes() (float64, bool) {
	content, err := os.ReadFile(statmFile)
	if err != nil {
		return 0, false
	}
	return residentBytes(content, os.Getpagesize())
}

// residentBytes reads the resident memory out of the content of statmFile.
func residentBytes(statm []byte, pageSize int) (float64, bool) {
	fields := bytes.Fields(statm)
	if len(fields) <= residentField {
		return 0, false
	}
	pages, err := strconv.ParseInt(string(fields[residentField]), 10, 64)
	if err != nil {
		return 0, false
	}
	return float64(pages) * float64(pageSize), true
}
