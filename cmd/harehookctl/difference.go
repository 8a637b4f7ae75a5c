package main

// maxSubsequencePairs bounds the table of the longest common subsequence of lines, in pairs of lines. At 8 bytes a
// pair, the table takes at most 80 MB.
const maxSubsequencePairs = 10_000_000

// difference returns the removed lines with the prefix "-" and the added lines with the prefix "+". It skips the common
// prefix and the common suffix of the texts.
func difference(from, to []string) []string {
	for len(from) > 0 && len(to) > 0 && from[0] == to[0] {
		from, to = from[1:], to[1:]
	}
	for len(from) > 0 && len(to) > 0 && from[len(from)-1] == to[len(to)-1] {
		from, to = from[:len(from)-1], to[:len(to)-1]
	}
	if len(from)*len(to) > maxSubsequencePairs {
		return differenceBySet(from, to)
	}
	return differenceBySubsequence(from, to)
}

// differenceBySet compares the texts as sets of lines: it returns the lines that only from has, then those that only to
// has. It needs memory in proportion to the number of lines, but ignores their order.
func differenceBySet(from, to []string) (lines []string) {
	addMissing := func(sign string, list, other []string) {
		has := make(map[string]bool, len(other))
		for _, line := range other {
			has[line] = true
		}
		for _, line := range list {
			if !has[line] {
				lines = append(lines, sign+line)
			}
		}
	}
	addMissing("-", from, to)
	addMissing("+", to, from)
	return lines
}

// differenceBySubsequence returns the lines outside the longest common subsequence, in the order of the texts.
func differenceBySubsequence(from, to []string) (lines []string) {
	common := make([][]int, len(from)+1)
	for k := range common {
		common[k] = make([]int, len(to)+1)
	}
	for a := len(from) - 1; a >= 0; a-- {
		for b := len(to) - 1; b >= 0; b-- {
			if from[a] == to[b] {
				common[a][b] = common[a+1][b+1] + 1
			} else {
				common[a][b] = max(common[a+1][b], common[a][b+1])
			}
		}
	}
	a, b := 0, 0
	for a < len(from) || b < len(to) {
		switch {
		case a < len(from) && b < len(to) && from[a] == to[b]:
			a, b = a+1, b+1
		case b == len(to) || a < len(from) && common[a+1][b] >= common[a][b+1]:
			lines = append(lines, "-"+from[a])
			a++
		default:
			lines = append(lines, "+"+to[b])
			b++
		}
	}
	return lines
}
