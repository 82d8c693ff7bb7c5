package placement

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOptions_OutOfRange_OptionError(t *testing.T) {
	defaults := Defaults()
	require.NoError(t, defaults.Check())
	for name, spoil := range map[string]func(*Options){
		"overlap_credit":     func(o *Options) { o.OverlapCredit = -1 },
		"prefill_load_scale": func(o *Options) { o.PrefillLoadScale = math.NaN() },
		"reread_weight":      func(o *Options) { o.RecomputeWeight = math.Inf(1) },
		"block_tokens":       func(o *Options) { o.BlockTokens = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			options := Defaults()
			spoil(&options)
			var optionError *OptionError
			require.ErrorAs(t, options.Check(), &optionError)
			require.Equal(t, name, optionError.Option)
		})
	}
}
