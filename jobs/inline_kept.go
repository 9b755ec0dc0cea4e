package jobs

import (
	"hash/crc32"
	"slices"
)

// castagnoli is the table of sums of texts.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Shortened is the command without what the group holds already: a result names the bytes
// that its item's parts hold in place of repeating them. Invariant: applied after these
// parts it lists the same text, and otherwise nothing. Every replica has to read it.
func (c Command) Shortened() Command {
	if c.CompleteInline == nil || !slices.ContainsFunc(c.CompleteInline.Results, func(r InlineResult) bool { return r.Kept > 0 }) {
		return c
	}
	results := slices.Clone(c.CompleteInline.Results)
	for i, result := range results {
		if 0 < result.Kept && result.Kept <= len(result.Text) {
			results[i].Sum = textSum(result.Text)
			results[i].Text = result.Text[result.Kept:]
		}
	}
	c.CompleteInline = &CompleteInline{Results: results}
	return c
}

// textSum is never 0, which says that there is none.
func textSum(text string) uint32 {
	return max(crc32.Checksum([]byte(text), castagnoli), 1)
}

// wholeResult gives a result with its whole text; false when the parts that it names are
// not what is kept. Its leader then proposes it whole.
func (c *change) wholeResult(result InlineResult) (InlineResult, bool) {
	kept, sum := result.Kept, result.Sum
	result.Kept, result.Sum = 0, 0
	if sum == 0 {
		return result, true // its text is whole, whatever is kept
	}
	var partial InlinePartial
	c.get(inlineKey(keyInlinePartial, result.Job, result.Index), &partial)
	if kept < 0 || kept > len(partial.Text) {
		return result, false
	}
	result.Text = partial.Text[:kept] + result.Text
	return result, textSum(result.Text) == sum || c.faults.TrustKept
}
