// Command capacity measures which resources an instance uses, and how they grow with the number
// of peers, failure domains, endpoints and groups. docs/CAPACITY.md is computed from the slopes.
package main

import (
	"fmt"
	"os"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Only       string        `long:"only" description:"measure one part: inside, across or instances; all without it"`
	Sizes      []int         `long:"size" default:"4" default:"12" default:"20" default:"37" default:"60" description:"nodes of a failure domain; may be repeated"`
	Domains    []int         `long:"domains" default:"2" default:"4" default:"7" default:"10" description:"failure domains; may be repeated"`
	Instances  []int         `long:"instances" default:"4" default:"12" default:"37" description:"entry instances of a failure domain as processes; may be repeated"`
	AcrossSize int           `long:"across-size" default:"12" description:"nodes of a failure domain when several are measured"`
	WarmUp     time.Duration `long:"warm" default:"6s" description:"before each measurement"`
	Duration   time.Duration `long:"duration" default:"10s" description:"of each measurement"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "amaranthmill-capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	for _, part := range []struct {
		name    string
		measure func(options, string) error
	}{
		{"inside", measureInsideDomain},
		{"across", measureAcrossDomains},
		{"instances", measureInstances},
	} {
		if o.Only != "" && o.Only != part.name {
			continue
		}
		if err := part.measure(o, dir); err != nil {
			return err
		}
	}
	return nil
}

func newBundleOffer(version identifier.BundleVersion, document []byte) linker.BundleOffer {
	return linker.BundleOffer{Version: version, Document: document}
}
