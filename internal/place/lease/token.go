package lease

const (
	termShift  = 16 // bits of a token below the log offset, as in package fold
	epochShift = 12
	maxEpoch   = 1<<(termShift-epochShift) - 1
	maxSeq     = 1<<epochShift - 1
)

// NextToken returns the token for a move that the holder of pair makes without the log, for a slot whose last token was
// last. It is higher than last and lower than the token of any later record. It returns false if none is left.
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
