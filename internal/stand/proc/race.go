//go:build race

package proc

const race = true
