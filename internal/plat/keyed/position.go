package keyed

import "strconv"

// Offsets of entries and ends of streams are positions: the era of the store in the upper bits and the offset within it in the
// lower ones. A store that is restored from an older copy gives offsets out again in a new era, so that positions never go back.
const (
	eraShift = 44
	maxEra   = 1<<19 - 1 // positions stay positive as int64
)

// Position returns the position of an offset in an era.
func Position(era, offset uint64) uint64 { return min(era, maxEra)<<eraShift | offset&(1<<eraShift-1) }

// Era returns the era of a position.
func Era(position uint64) uint64 { return position >> eraShift }

// Offset returns the offset of a position within its era.
func Offset(position uint64) uint64 { return position & (1<<eraShift - 1) }

// FormatPosition returns the form of a position in logs: the offset, after the era if that is not 0.
func FormatPosition(position uint64) string {
	offset := strconv.FormatUint(Offset(position), 10)
	if era := Era(position); era > 0 {
		return strconv.FormatUint(era, 10) + ":" + offset
	}
	return offset
}
