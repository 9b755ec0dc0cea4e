package replication

import "slices"

// usualVoters is how many are counted without an allocation.
const usualVoters = 7

// quorumOf is the smallest majority of voters.
func quorumOf(voters int) int { return voters/2 + 1 }

// reached gives the highest value that a majority of voters has reached.
func reached(voters []ReplicaID, value func(ReplicaID) uint64) uint64 {
	if len(voters) == 0 {
		return 0
	}
	var buffer [usualVoters]uint64
	values := buffer[:0]
	for _, voter := range voters {
		values = append(values, value(voter))
	}
	slices.Sort(values)
	return values[len(values)-quorumOf(len(values))]
}

// majority tells whether a majority of voters fulfils the condition.
func majority(voters []ReplicaID, fulfils func(ReplicaID) bool) bool {
	count := 0
	for _, voter := range voters {
		if fulfils(voter) {
			count++
		}
	}
	return len(voters) > 0 && count >= quorumOf(len(voters))
}
