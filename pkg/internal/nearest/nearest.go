// Package nearest finds the known name that a mistyped one most likely stands for.
package nearest

// maxLength is the length in bytes of the longest name that is compared. The time of the edit distance grows with the
// product of both lengths.
const maxLength = 64

// Name returns the candidate with the smallest edit distance to name, and the first of them on a tie. It returns "" when
// every distance exceeds max(2, len(name)/3), because a suggestion that is further off would mislead.
func Name(name string, candidates []string) string {
	if len(name) > maxLength {
		return ""
	}
	best, bestDistance := "", max(2, len(name)/3)+1
	for _, candidate := range candidates {
		if len(candidate) > maxLength {
			continue
		}
		if distance := editDistance(name, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the optimal string alignment distance: the number of insertions, deletions, substitutions and
// swaps of adjacent bytes that turn a into b.
func editDistance(a, b string) int {
	before, previous, current := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				current[j] = min(current[j], before[j-2]+1)
			}
		}
		before, previous, current = previous, current, before
	}
	return previous[len(b)]
}
