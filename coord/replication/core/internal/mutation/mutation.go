// Package mutation names the faults that tests build into the core on purpose, to show that their searches find them. Only packages below the core can name them, so nothing else can switch one on.
package mutation

// Kind is one such fault.
type Kind uint8

// The faults. New ones come last.
const (
	None                 Kind = iota
	SkipSync                  // acknowledge before the disk has it
	AnswerBeforeBackups       // answer an order before the backups have it
	SkipMajority              // one witness is enough
	ForgetPromise             // a witness forgets what it promised
	SkipConfirmOnRefusal      // refusals and empty acknowledgements ask nobody
	SkipConfirmOnRead         // nor do reads
	SkipSeal                  // a copy that proposes goes on taking appends
	SkipEarlierProposal       // an earlier proposal is not finished first
	OverwriteSameTag          // a repeated transfer goes over what was appended since
	SkipOwnPromise            // a proposer doesn't sync its own ballot before it uses it
)

var names = [...]string{
	"none", "skip sync", "answer before backups", "skip majority", "forget promise", "skip confirm on refusal", "skip confirm on read",
	"skip seal", "skip earlier proposal", "overwrite same tag", "skip own promise",
}

// String is the fault in words.
func (k Kind) String() string {
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}
