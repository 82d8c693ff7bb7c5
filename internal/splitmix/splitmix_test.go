package splitmix

import "testing"

// The expected values are those of the reference implementation of SplitMix64: its first outputs for the seed
// 1234567, whose state grows by the golden ratio before each.
func TestMix_ReferenceSeed_ReferenceOutputs(t *testing.T) {
	const goldenRatio = 0x9e3779b97f4a7c15
	state := uint64(1234567)
	for _, want := range []uint64{6457827717110365317, 3203168211198807973, 9817491932198370423} {
		state += goldenRatio
		if got := Mix(state); got != want {
			t.Errorf("Mix(%#x) = %d, want %d", state, got, want)
		}
	}
}
