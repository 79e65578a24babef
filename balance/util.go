package balance

import "time"

// seconds is a time of s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// mix64 spreads an id over all numbers.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
