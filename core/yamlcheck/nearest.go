package yamlcheck

// maxEdits is the maximum edit distance between a misspelt name and a suggestion.
const maxEdits = 2

// Nearest returns the name with the smallest edit distance to word, the first one if
// several are equally near. It returns "" if all distances are more than maxEdits or not
// less than the length of the name.
func Nearest(word string, names []string) string {
	best, bestEdits := "", maxEdits+1
	for _, name := range names {
		if e := editDistance(word, name); e < bestEdits && e < len(name) {
			best, bestEdits = name, e
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
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
