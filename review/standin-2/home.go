package main

import "math/bits"

// homeOf returns the machine whose process keeps the token bucket of a tenant. It follows the
// product's placement, since a case that loses one machine has to choose that one; nothing is
// judged by it.
func (de *deployment) homeOf(tenant string) *machine {
	const partitions, units = 1024, 4
	pt := xxhash(tenant) % partitions
	var home *machine
	top := uint64(0)
	for _, ma := range de.machines {
		base := xxhash(ma.name)
		for unit := uint64(0); unit < units; unit++ {
			seed := mix(base + unit*0x9e3779b97f4a7c15)
			if score := mix(seed ^ pt*0xd6e8feb86659fd93); home == nil || score > top {
				home, top = ma, score
			}
		}
	}
	return home
}

// mix is the finaliser of splitmix64.
func mix(va uint64) uint64 {
	va ^= va >> 30
	va *= 0xbf58476d1ce4e5b9
	va ^= va >> 27
	va *= 0x94d049bb133111eb
	return va ^ va>>31
}

// xxhash is XXH64 with seed 0 of a text of less than 32 bytes.
func xxhash(text string) uint64 {
	const (
		p1 = 11400714785074694791
		p2 = 14029467366897019727
		p3 = 1609587929392839161
		p4 = 9650029242287828579
		p5 = 2870177450012600261
	)
	data := []byte(text)
	if len(data) >= 32 {
		panic("the text is too long")
	}
	sum := uint64(p5) + uint64(len(data))
	word := func(size int) uint64 {
		value := uint64(0)
		for i := range size {
			value |= uint64(data[i]) << (8 * i)
		}
		data = data[size:]
		return value
	}
	for len(data) >= 8 {
		sum ^= bits.RotateLeft64(word(8)*p2, 31) * p1
		sum = bits.RotateLeft64(sum, 27)*p1 + p4
	}
	if len(data) >= 4 {
		sum ^= word(4) * p1
		sum = bits.RotateLeft64(sum, 23)*p2 + p3
	}
	for len(data) > 0 {
		sum ^= word(1) * p5
		sum = bits.RotateLeft64(sum, 11) * p1
	}
	sum ^= sum >> 33
	sum *= p2
	sum ^= sum >> 29
	sum *= p3
	return sum ^ sum>>32
}
