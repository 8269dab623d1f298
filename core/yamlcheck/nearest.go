package yamlcheck

// maxEdits bounds the edits between a misspelt name and a suggestion.
const maxEdits = 2

// Nearest returns the name that is fewest edits away from word, or "" if none is
// near enough to be a misspelling. Of equally near names the first is taken.
func Nearest(word string, names []string) string {
	best, bestEdits := "", maxEdits+1
	for _, name := range names {
		if e := edits(word, name); e < bestEdits && e < len(name) {
			best, bestEdits = name, e
		}
	}
	return best
}

// edits returns the Levenshtein distance between a and b in bytes.
func edits(a, b string) int {
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
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
