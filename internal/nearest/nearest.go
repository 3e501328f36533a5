// Package nearest finds the known names that resemble an unknown one.
package nearest

import (
	"cmp"
	"slices"
)

// Names returns at most limit of the known names, the most similar ones first: those that
// the fewest inserted, removed and replaced bytes turn into name.
func Names(name string, known []string, limit int) []string {
	distances := make(map[string]int, len(known))
	for _, k := range known {
		distances[k] = distance(name, k)
	}
	out := slices.Compact(slices.SortedFunc(slices.Values(known), func(a, b string) int {
		return cmp.Or(cmp.Compare(distances[a], distances[b]), cmp.Compare(a, b))
	}))
	return out[:min(limit, len(out))]
}

// distance returns the Levenshtein distance of two texts in bytes.
func distance(a, b string) int {
	// row[j] is the distance of the bytes of a so far from the first j bytes of b.
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
