//go:build !race

package proc

const race = false
