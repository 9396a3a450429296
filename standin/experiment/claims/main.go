// Command claims makes keyed calls at several claimers over the stand-in of the platform on
// loopback, with duplicates and faults, and counts how often each call ran and the calls
// that the platform saw.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
)

func main() {
	keys := flag.Int("keys", 200, "keyed calls of each line")
	instances := flag.Int("instances", 4, "claimers")
	flag.Parse()
	fmt.Println("| case | keys | requests | ran | ran twice | without a definite answer | writes | reads | leases |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, sc := range scenarios {
		t, err := run(context.Background(), sc, *keys, *instances)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("| %s | %d | %d | %d | %d | %d | %d | %d | %d |\n", sc.name, *keys, t.requests, t.ran, t.twice, t.open,
			t.calls["write"], t.calls["read"], t.calls["lease"])
	}
}
