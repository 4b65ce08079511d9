package keyed_test

import (
	"fmt"

	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

func ExamplePosition() {
	before, after := keyed.Position(0, 176), keyed.Position(1, 134)
	fmt.Println(before < after, keyed.Era(after), keyed.Offset(after))
	fmt.Println(keyed.FormatPosition(before), keyed.FormatPosition(after))
	// Output:
	// true 1 134
	// 176 1:134
}
