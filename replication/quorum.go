package replication

import "slices"

// inlineVoters is the number of voters up to which quorumValue does not allocate.
const inlineVoters = 7

// quorumSize is the size of the smallest majority of voters.
func quorumSize(voters int) int { return voters/2 + 1 }

// quorumValue returns the highest value that a majority of voters has reached.
func quorumValue(voters []ReplicaID, value func(ReplicaID) uint64) uint64 {
	if len(voters) == 0 {
		return 0
	}
	var buffer [inlineVoters]uint64
	values := buffer[:0]
	for _, voter := range voters {
		values = append(values, value(voter))
	}
	slices.Sort(values)
	return values[len(values)-quorumSize(len(values))]
}

// hasMajority reports whether a majority of voters satisfies the predicate.
func hasMajority(voters []ReplicaID, predicate func(ReplicaID) bool) bool {
	count := 0
	for _, voter := range voters {
		if predicate(voter) {
			count++
		}
	}
	return len(voters) > 0 && count >= quorumSize(len(voters))
}
