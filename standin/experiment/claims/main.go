// Command claims makes calls with idempotency keys through several claimers, which share the
// platform stand-in over loopback. It adds duplicate calls and platform faults, and counts how
// often each call ran and how many calls the platform received.
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
		t, err := runScenario(context.Background(), sc, *keys, *instances)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("| %s | %d | %d | %d | %d | %d | %d | %d | %d |\n", sc.name, *keys, t.requests, t.keysRun, t.keysRunTwice, t.unanswered,
			t.platformCalls["write"], t.platformCalls["read"], t.platformCalls["lease"])
	}
}
