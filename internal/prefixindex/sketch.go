package prefixindex

import (
	"math"

	"shaletrestle/internal/splitmix"
)

// Sketch counts sightings of keys in little memory. It is a count-min sketch
// whose counts are halved from time to time.
type Sketch struct {
	rows      [sketchRows][sketchWidth]uint16
	additions int // since the counts were halved
}

// Add counts one sighting and gives the key's count.
func (s *Sketch) Add(key Key) int {
	s.additions++
	if s.additions >= sketchHalvingInterval {
		s.additions = 0
		s.halve()
	}
	hash := splitmix.Mix(uint64(key))
	for row := range s.rows {
		counter := s.counter(row, hash)
		if *counter < math.MaxUint16 {
			*counter++
		}
	}
	return s.Count(key)
}

// Count is how often a key was seen, or a little more.
func (s *Sketch) Count(key Key) int {
	count := math.MaxUint16
	hash := splitmix.Mix(uint64(key))
	for row := range s.rows {
		count = min(count, int(*s.counter(row, hash)))
	}
	return count
}

func (s *Sketch) halve() {
	for row := range s.rows {
		for column := range s.rows[row] {
			s.rows[row][column] /= 2
		}
	}
}

// counter is the counter of a hash in a row. The rows use different columns by
// double hashing: the upper half of the hash, made odd, is the step.
func (s *Sketch) counter(row int, hash uint64) *uint16 {
	step := hash>>32 | 1
	column := (hash + uint64(row)*step) % sketchWidth
	return &s.rows[row][column]
}
