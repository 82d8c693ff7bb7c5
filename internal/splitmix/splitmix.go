// Package splitmix spreads the bits of 64-bit keys. It holds no state.
package splitmix

// Mix is the finalizer of SplitMix64: a bijection in which each bit of the input changes half of the output's
// bits on average. It makes keys that differ in few bits, or hashes combined by exclusive or, usable as hashes.
func Mix(bits uint64) uint64 {
	bits ^= bits >> 30
	bits *= 0xbf58476d1ce4e5b9
	bits ^= bits >> 27
	bits *= 0x94d049bb133111eb
	return bits ^ bits>>31
}
