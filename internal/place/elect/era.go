package elect

// A store that is restored from an older copy has lost the latest terms and fences. Those of an era begin above all of the eras
// before, so that an instance that knows only the copy uses none again.
const (
	// numbersPerEra is the number of terms and of fences in an era.
	numbersPerEra = 1 << 32
	// maxNumberedEra bounds fences to integers that servers can read as floating-point numbers.
	maxNumberedEra = 1<<20 - 1
)

// FirstNumber returns the lowest term and the lowest fence of an era of the store.
func FirstNumber(era uint64) uint64 { return min(era, maxNumberedEra) * numbersPerEra }

// EraOf returns the era of a term or a fence.
func EraOf(number uint64) uint64 { return number / numbersPerEra }
