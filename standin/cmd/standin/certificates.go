package main

import (
	"fmt"
	"strings"

	"amaranthmill/standin/authority"
)

type certificatesCommand struct {
	Dir     string   `long:"dir" required:"true" description:"folder for the files"`
	Members []string `long:"member" required:"true" description:"failureDomain/instance; may be repeated"`
}

// Execute writes a certificate authority and the certificates of the members.
func (c *certificatesCommand) Execute([]string) error {
	a, err := authority.New()
	if err != nil {
		return err
	}
	members := make([]authority.Identity, 0, len(c.Members))
	for _, m := range c.Members {
		domain, instance, ok := strings.Cut(m, "/")
		if !ok {
			return fmt.Errorf("certificates: --member %q is not of the form failureDomain/instance", m)
		}
		members = append(members, authority.Identity{Instance: instance, FailureDomain: domain})
	}
	return a.Write(c.Dir, members)
}
