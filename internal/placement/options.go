package placement

import (
	"fmt"
	"math"

	"shaletrestle/internal/prefixindex"
)

// Defaults of the options, see there.
const (
	// defaultOverlapCredit is one block for each block held (source).
	defaultOverlapCredit = 1.0
	// defaultRecomputeWeight: a shared block that is prefilled at a second replica costs more than its time: it takes
	// room there, and prompts then move back and forth between the two.
	defaultRecomputeWeight = 16.0
	// defaultPrefillLoadScale: memory in use hardly slows a step, prefill does.
	defaultPrefillLoadScale = 64.0
	// defaultActiveWeight is about the prefill of a block, for what a request adds to each step.
	defaultActiveWeight = 64.0
	// defaultCreditDecayBlocks is off: the queue itself already weighs against the credit.
	defaultCreditDecayBlocks = 0.0
	// defaultOtherZoneBlocks: the round trip to another zone takes about as long as the prefill of so many blocks.
	defaultOtherZoneBlocks = 16.0
	// defaultFullMark is the occupancy above which a home is passed over (source).
	defaultFullMark = 0.85
)

// Options of the placement policy. Loads are counted in blocks of prompt tokens; a decode block is one that a running
// request holds in memory, and the unit of the cost.
type Options struct {
	// BlockTokens is the number of tokens in a block, at least 1. Default 16 (source: m02 and session caching 4.1).
	BlockTokens int `yaml:"block_tokens"`
	// OverlapCredit is the credit in blocks for each full block that a replica is believed to hold. Default 1
	// (source: session caching 4.4).
	OverlapCredit float64 `yaml:"overlap_credit"`
	// RecomputeWeight is the number of blocks that a shared block counts for where it must be prefilled, and in the
	// credit where it need not; for a prompt with no time to spare it counts as 1. Default 16 (ours).
	RecomputeWeight float64 `yaml:"reread_weight"`
	// PrefillLoadScale is the number of decode blocks that weigh as much as one block to be prefilled. Default 64 (the
	// term is that of session caching 4.4, the value ours).
	PrefillLoadScale float64 `yaml:"prefill_load_scale"`
	// CountActive says whether active requests count by their number. Default true (the term is that of session
	// caching 4.4, where it is off).
	CountActive bool `yaml:"count_active"`
	// ActiveWeight is the number of decode blocks that one active request counts for. Default 64 (ours).
	ActiveWeight float64 `yaml:"active_weight"`
	// CreditDecayBlocks is the number of blocks waiting for prefill at which the credit is halved; 0 means never.
	// Default 0 (the decay is an option of session caching 4.4).
	CreditDecayBlocks float64 `yaml:"credit_decay_blocks"`
	// OtherZoneBlocks is the number of blocks to be prefilled that a replica in another zone counts for. Default 16 (ours).
	OtherZoneBlocks float64 `yaml:"other_zone_blocks"`
	// FullMark is the part of slots or memory, 0 to 1, beyond which requests wait or are preempted. Default 0.85
	// (source: m02).
	FullMark float64 `yaml:"full_mark"`
}

// Defaults returns the options of a settings file that names none.
func Defaults() Options {
	return Options{
		BlockTokens:       prefixindex.BlockTokens,
		OverlapCredit:     defaultOverlapCredit,
		RecomputeWeight:   defaultRecomputeWeight,
		PrefillLoadScale:  defaultPrefillLoadScale,
		CountActive:       true,
		ActiveWeight:      defaultActiveWeight,
		CreditDecayBlocks: defaultCreditDecayBlocks,
		OtherZoneBlocks:   defaultOtherZoneBlocks,
		FullMark:          defaultFullMark,
	}
}

// An OptionError says which option is out of its range.
type OptionError struct {
	Option string // as the settings file names it
	Want   string // what it must be
}

func (e *OptionError) Error() string { return fmt.Sprintf("placement.%s must be %s", e.Option, e.Want) }

// Check returns an [OptionError] for the first option that is out of its range, nil if there is none.
func (o *Options) Check() error {
	for _, option := range []struct {
		name  string
		value float64
	}{
		{"overlap_credit", o.OverlapCredit},
		{"reread_weight", o.RecomputeWeight},
		{"prefill_load_scale", o.PrefillLoadScale},
		{"active_weight", o.ActiveWeight},
		{"credit_decay_blocks", o.CreditDecayBlocks},
		{"other_zone_blocks", o.OtherZoneBlocks},
		{"full_mark", o.FullMark},
	} {
		if option.value < 0 || math.IsNaN(option.value) || math.IsInf(option.value, 0) {
			return &OptionError{Option: option.name, Want: "a number of 0 or more"}
		}
	}
	if o.BlockTokens < 1 {
		return &OptionError{Option: "block_tokens", Want: "1 or more"}
	}
	return nil
}
