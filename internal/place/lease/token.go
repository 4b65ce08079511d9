package lease

const (
	termShift  = 16 // room below a log offset, as in package fold
	epochShift = 12
	maxEpoch   = 1<<(termShift-epochShift) - 1
	maxSeq     = 1<<epochShift - 1
)

// NextToken returns the token of a move made without the log by the holder of p, for a slot whose last token was last.
// It is higher than last and lower than that of any later record. It reports false when no such token is left.
func NextToken(last uint64, pair Pair) (uint64, bool) {
	if pair.Epoch > maxEpoch {
		return 0, false
	}
	base := max(pair.Term, last>>termShift)<<termShift | uint64(pair.Epoch)<<epochShift
	if last < base {
		return base | 1, true
	}
	if last-base >= maxSeq {
		return 0, false
	}
	return last + 1, true
}
