package jsonc

import "fmt"

// Hint returns `; did you mean "x"?` for the known name nearest to name, or "" if none is near.
func Hint(name string, known []string) string {
	if near := Nearest(name, known); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	return ""
}

// Nearest returns the known name with the smallest edit distance to name, the first of several. It returns
// "" if more than half of the bytes would have to change or name exceeds maxNameBytes.
func Nearest(name string, known []string) string {
	best, fewest := "", 0
	if len(name) > maxNameBytes {
		return ""
	}
	for _, k := range known {
		if d := distance(name, k); 2*d <= max(len(name), len(k)) && (best == "" || d < fewest) {
			best, fewest = k, d
		}
	}
	return best
}

// distance returns the Levenshtein distance in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
