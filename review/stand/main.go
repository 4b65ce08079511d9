// Command stand plays a case of the review: stand-ins of the platform, of backend servers and of clients around daemons that it
// starts as processes. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases returns whether the rule was broken, and a line that says why.
var cases = map[string]func(f *Fleet, trouble bool) (broken bool, why string, err error){
	"longkey": playLongKey,
	"bigbody": playBigBody,
	"poison":  playPoison,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	broken, why, err := play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("broken:", why)
		os.Exit(1)
	}
	fmt.Println("held:", why)
}

func play(name, folder string, trouble bool) (broken bool, why string, err error) {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, "", err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, "", err
	}
	f, err := NewFleet(dir, record)
	if err != nil {
		return false, "", err
	}
	broken, why, err = cases[name](f, trouble)
	f.Stop()
	record.Note("result: broken %v, %s, error %v", broken, why, err)
	if err == nil {
		err = os.RemoveAll(dir)
	}
	return broken, why, err
}
