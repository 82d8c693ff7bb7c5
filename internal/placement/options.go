package placement

import (
	"math"

	"shaletrestle/internal/prefixindex"

	"shaletrestle/internal/errkind"
)

// Options of the placement policy. Loads are counted in blocks.
type Options struct {
	BlockTokens       int     `yaml:"block_tokens"`        // tokens a block
	OverlapCredit     float64 `yaml:"overlap_credit"`      // blocks of credit for a block that the index names
	RereadWeight      float64 `yaml:"reread_weight"`       // blocks that a shared block counts for where it must be read, and its credit where it need not
	PrefillLoadScale  float64 `yaml:"prefill_load_scale"`  // decode blocks that weigh as much as one block to be read
	CountActive       bool    `yaml:"count_active"`        // whether active requests count
	ActiveWeight      float64 `yaml:"active_weight"`       // decode blocks that one of them counts for
	CreditDecayBlocks float64 `yaml:"credit_decay_blocks"` // blocks in line at which credit is halved; 0: never
	OtherZoneBlocks   float64 `yaml:"other_zone_blocks"`   // blocks to be read that another locality counts for
	FullMark          float64 `yaml:"full_mark"`           // part of slots or memory beyond which requests wait or are read anew
}

// Defaults are the options of a settings file that names none.
func Defaults() Options {
	return Options{BlockTokens: prefixindex.BlockTokens, OverlapCredit: defaultOverlapCredit, RereadWeight: defaultRereadWeight, PrefillLoadScale: defaultPrefillLoadScale, CountActive: true,
		ActiveWeight: defaultActiveWeight, CreditDecayBlocks: defaultCreditDecayBlocks, OtherZoneBlocks: defaultOtherZoneBlocks, FullMark: defaultFullMark}
}

// Check tells what is wrong with the options.
func (o *Options) Check() error {
	for _, x := range []struct {
		f string
		v float64
	}{{"overlap_credit", o.OverlapCredit}, {"reread_weight", o.RereadWeight}, {"prefill_load_scale", o.PrefillLoadScale}, {"active_weight", o.ActiveWeight},
		{"credit_decay_blocks", o.CreditDecayBlocks}, {"other_zone_blocks", o.OtherZoneBlocks}, {"full_mark", o.FullMark}} {
		if x.v < 0 || math.IsNaN(x.v) || math.IsInf(x.v, 0) {
			return errkind.New(errkind.InvalidSettings, "settings: placement.%s must be a number of 0 or more", x.f)
		}
	}
	if o.BlockTokens < 1 {
		return errkind.New(errkind.InvalidSettings, "settings: placement.block_tokens must be 1 or more")
	}
	return nil
}
