package emulator

import "time"

// The emulator and load tool (emulator). Values marked (default) can be set in an experiment.
const (
	yardMemoryMB    = 244                    // memory_mb told to the daemons
	yardPorts       = 8                      // ports that every emulated machine needs: six are used
	yardFind        = 64                     // tries to find free addresses
	yardHosts       = 4000                   // emulated machines at most
	yardDuration    = 600                    // s; longest experiment
	yardRequests    = 200000                 // requests of one experiment at most
	yardRate        = 5000                   // requests a second of one kind at most
	yardReplicas    = 2000                   // replicas at most
	yardNodes       = 400                    // daemons at most
	yardReadyWait   = 10 * time.Second       // (default) replicas and daemons must be up by then
	yardLook        = 10 * time.Millisecond  // pause between looks at something that is awaited
	yardLag         = 300 * time.Millisecond // (default) the platform's list runs this much behind
	yardListRate    = 40                     // (default) calls a second that the platform takes
	yardPage        = 50                     // (default) entries of a page of its list
	yardCrashSeen   = 2 * time.Second        // a crashed replica stays on the list this long
	yardDrain       = 3 * time.Second        // a draining replica serves on this long
	yardReportLag   = 200 * time.Millisecond // a replica's report is this old
	yardKeepIdle    = 15 * time.Second       // a replica closes an idle connection after this
	yardSlots       = 16                     // (default) requests a replica runs at once
	yardQueue       = 16                     // (default) requests it queues beyond
	yardWork        = 15 * time.Millisecond  // (default) work of a request without an engine
	yardStep        = 8 * time.Millisecond   // (default) batch step: a small model's on one accelerator, about 120 tokens a second
	yardEach        = 150 * time.Microsecond // (default) what a further request adds to it
	yardPrefill     = 12000                  // (default) prompt tokens a second: of the order of 1/PrefillToken
	yardChunk       = 1024                   // (default) prompt tokens between two tokens of the others
	yardMemory      = 60000                  // (default) tokens of memory
	yardChannels    = 200                    // (default) connections that a replica takes
	yardTries       = 4                      // tries of a client within its deadline
	yardDial        = 1 * time.Second        // a client gives a new connection this long
	yardTimeout     = 10 * time.Second       // (default) deadline of a request
	yardAim         = 1 * time.Second        // (default) time within which an answer is in time
	yardGap         = 500 * time.Millisecond // (default) pause between events that is still in time
	yardGrey        = 3                      // a grey replica fails one request in so many, one with resets likewise
	yardFlap        = 700 * time.Millisecond // a flapping replica is up and down in turn for this long
	yardSlow        = 8                      // a lying replica works so many times slower than it says
	yardLatencyMost = 10 * 60 * 1000000      // µs; largest value of a histogram
	yardDigits      = 3                      // its significant digits
	yardWindow      = 8 * time.Second        // a hollow fleet is measured this long, some twenty beats of the news, after it was left alone for half of it
	yardTimed       = 8                      // changes whose way to every node is timed
	yardLine        = 1 << 20                // bytes of a line from a cell
	yardProgress    = 1 * time.Second        // progress is printed this often
)
