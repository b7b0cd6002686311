// Package hash provides 64-bit hash functions for placement decisions. All VMs compute the same results.
package hash

import (
	"cmp"
	"slices"
)

// FNV-1a parameters for 64 bits.
const (
	offset64 = 14695981039346656037
	prime64  = 1099511628211
)

// String returns the FNV-1a hash of s, finalized by Mix.
func String[T ~string](s T) uint64 {
	h := uint64(offset64)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= prime64
	}
	return Mix(h)
}

// Bytes returns the FNV-1a hash of b, finalized by Mix.
func Bytes(b []byte) uint64 {
	h := uint64(offset64)
	for _, c := range b {
		h ^= uint64(c)
		h *= prime64
	}
	return Mix(h)
}

// Mix spreads the bits of x over the result (the finalizer of SplitMix64, Steele et al. 2014).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Combine combines two hashes for rendezvous hashing (Thaler and Ravishankar 1998).
func Combine(a, b uint64) uint64 { return Mix(a ^ Mix(b)) }

// SortByRank sorts names by their rendezvous hash with h, the highest first.
func SortByRank[T ~string](names []T, h uint64) {
	slices.SortFunc(names, func(a, b T) int {
		return cmp.Or(cmp.Compare(Combine(String(b), h), Combine(String(a), h)), cmp.Compare(a, b))
	})
}
