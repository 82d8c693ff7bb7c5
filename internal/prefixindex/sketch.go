package prefixindex

import "shaletrestle/internal/constants"

// Sketch counts sightings in little memory: a count-min sketch whose counts are halved now and then.
type Sketch struct {
	rows [constants.SketchRows][constants.SketchWidth]uint16
	adds int
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *Sketch) each(k Key, f func(*uint16)) {
	h := mix(uint64(k))
	for i := range s.rows {
		f(&s.rows[i][(h+uint64(i)*(h>>32|1))%constants.SketchWidth])
	}
}

// Add counts one sighting and gives the count.
func (s *Sketch) Add(k Key) int {
	if s.adds++; s.adds >= constants.SketchDecay {
		s.adds = 0
		for i := range s.rows {
			for j := range s.rows[i] {
				s.rows[i][j] /= 2
			}
		}
	}
	s.each(k, func(c *uint16) {
		if *c < 1<<16-1 {
			*c++
		}
	})
	return s.Count(k)
}

// Count is how often a key was seen, or a little more.
func (s *Sketch) Count(k Key) int {
	n := 1<<16 - 1
	s.each(k, func(c *uint16) { n = min(n, int(*c)) })
	return n
}
