package main

import "strings"

// diffLines returns a line diff: "- " marks lines only in before, "+ " lines only in after,
// and "  …" stands for a run of equal lines.
func diffLines(before, after string) []string {
	a, b := splitLines(before), splitLines(after)
	common := commonLengths(a, b)
	var out []string
	addEllipsis := func() {
		if len(out) == 0 || out[len(out)-1] != "  …" {
			out = append(out, "  …")
		}
	}
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			addEllipsis()
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

func splitLines(text string) []string {
	return strings.Split(strings.TrimRight(text, "\n"), "\n")
}

// commonLengths returns the length of the longest common subsequence of a[i:] and
// b[j:] for all i and j.
func commonLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
