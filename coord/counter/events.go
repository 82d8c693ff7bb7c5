package counter

// Token names a request of the driver, which chooses it; each is used once in an incarnation.
type Token uint64

// Event is what happened, for Core.Step.
type Event interface{ isEvent() }

// Tick says that time has passed. The driver sends one each TickInterval or a little later.
type Tick struct{}

// MembersChanged tells which other members may exist. Those that are not named and don't answer are forgotten.
type MembersChanged struct{ Candidates []Candidate }

// Candidate is a member that may exist.
type Candidate struct {
	Member
	// HasDisk says that the member is known to have a disk, though it may never have answered.
	HasDisk bool
}

// AddRequested asks for an addition. It ends with one Added.
type AddRequested struct {
	Token    Token
	Addition Addition
}

// Received is a call of another member. It ends with one Reply.
type Received struct {
	Token   Token
	Message Message // Ping, Push or Pull
}

// Answered is the end of a Send.
type Answered struct {
	Address string
	Request Message
	Reply   Message // nil: none came
	Refused bool    // none came because nothing listens at the address
}

// DiskDone is the end of a Write.
type DiskDone struct{ Err error }

// Leaving says that the process will end soon: nothing is added any more.
type Leaving struct{}

func (Tick) isEvent()           {}
func (MembersChanged) isEvent() {}
func (AddRequested) isEvent()   {}
func (Received) isEvent()       {}
func (Answered) isEvent()       {}
func (DiskDone) isEvent()       {}
func (Leaving) isEvent()        {}

// Effect is what the driver must do.
type Effect interface{ isEffect() }

// Send calls another member. It must end with one Answered, within PingTimeout for a Ping and CallTimeout for others.
type Send struct {
	Address string
	Message Message // Ping, Push or Pull
}

// Write appends to the disk and syncs it. It must end with one DiskDone; the next Write comes after that.
type Write struct {
	Runs     []Run
	Complete bool // from now on the disk is that of a member that has totals
	// Rewrite says that the runs are everything held, and take the place of what was written before. The first Write of an
	// incarnation and the one after a failed Write are of this kind.
	Rewrite bool
}

// Reply answers a Received.
type Reply struct {
	Token   Token
	Message Message
}

// Added answers an AddRequested.
type Added struct {
	Token  Token
	Result AddResult
}

func (Send) isEffect()  {}
func (Write) isEffect() {}
func (Reply) isEffect() {}
func (Added) isEffect() {}

// AddResult is how an addition ended.
type AddResult uint8

// The results of an addition. Their numbers are not stored.
const (
	AddAcknowledged AddResult = iota + 1 // it counts, and is synced as the policy asks
	AddUnclear                           // it may count now or later
	AddConflict                          // the id was counted with another amount; nothing was done
	NotAdded                             // nothing was done and nothing will be
	AddElsewhere                         // this member has no disk: ask the one that Core.Nearest names; nothing was done
)

var addResultNames = [...]string{"", "acknowledged", "unclear", "conflict", "rejected", "redirected"}

// String is the result in a word, for metrics.
func (r AddResult) String() string { return addResultNames[r] }
