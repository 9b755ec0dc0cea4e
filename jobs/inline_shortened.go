package jobs

import (
	"hash/crc32"
	"slices"
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// Shortened returns the command without the text that the group has stored already as
// parts: a result has the number of these bytes and a checksum in place of them.
// Applied after these parts, it lists the whole text; otherwise it is rejected. Every
// replica must support shortened commands. The receiver is not modified.
func (c Command) Shortened() Command {
	if c.CompleteInline == nil || !slices.ContainsFunc(c.CompleteInline.Results, func(r InlineResult) bool { return r.CheckpointBytes > 0 }) {
		return c
	}
	results := slices.Clone(c.CompleteInline.Results)
	for i, result := range results {
		if 0 < result.CheckpointBytes && result.CheckpointBytes <= len(result.Text) {
			results[i].Checksum = textChecksum(result.Text)
			results[i].Text = result.Text[result.CheckpointBytes:]
		}
	}
	c.CompleteInline = &CompleteInline{Results: results}
	return c
}

// textChecksum is never 0, which stands for no checksum.
func textChecksum(text string) uint32 {
	return max(crc32.Checksum([]byte(text), castagnoliTable), 1)
}

// restoreText returns a result with its whole text, and false if the stored parts do
// not match its checksum. The leader then proposes the whole text.
func (c *change) restoreText(result InlineResult) (InlineResult, bool) {
	kept, sum := result.CheckpointBytes, result.Checksum
	result.CheckpointBytes, result.Checksum = 0, 0
	if sum == 0 {
		return result, true // has its whole text
	}
	var partial InlinePartial
	c.get(inlineKey(keyInlinePartial, result.Job, result.Index), &partial)
	if kept < 0 || kept > len(partial.Text) {
		return result, false
	}
	result.Text = partial.Text[:kept] + result.Text
	return result, textChecksum(result.Text) == sum || c.faults.TrustCheckpoints
}
