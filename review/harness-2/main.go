// Program review-harness-2 plays the cases of the second review that are scripts: it starts the entry processes and the
// stand-ins, sends requests, and checks the answers. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
)

var cases = map[string]func(d *record, trouble bool) error{
	"reborn-full-worker":   rebornFullWorker,
	"reborn-worker":        rebornWorker,
	"unnamed-extra-answer": unnamedExtraAnswer,
	"poison":               poison,
	"volley":               volley,
}

func main() {
	folder := flag.String("folder", ".", "folder for record.txt")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	r, err := newRecord(*folder)
	if err == nil {
		err = play(r, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	}
	if len(r.broken) > 0 {
		r.add("result: the rule was broken %d times", len(r.broken))
		fmt.Printf("broken %d times, first: %s\n", len(r.broken), r.broken[0])
		os.Exit(1)
	}
	r.add("result: the rule held")
	fmt.Println("held")
}
