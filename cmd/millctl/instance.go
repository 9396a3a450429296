package main

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"amaranthmill/administrator"
	"amaranthmill/messenger"
)

// instanceTimeout bounds one call of an instance.
const instanceTimeout = 5 * time.Second

// instanceHelp ends the help of the commands that ask an instance.
const instanceHelp = " It asks an instance on the users' platform; --address is then the address at which the instance answers its peers (listen.peers in its settings). No token is needed."

// query asks the instances of the global options in order until one answers.
func query[T any](a *app, ask func(messenger.Operator, context.Context, netip.AddrPort) (T, error)) (T, error) {
	var answer T
	err := a.callInstance(func(o messenger.Operator, address netip.AddrPort) (err error) {
		answer, err = ask(o, a.ctx, address)
		return err
	})
	return answer, err
}

// callInstance calls the instances of the global options in order until one answers.
func (a *app) callInstance(call func(messenger.Operator, netip.AddrPort) error) error {
	addresses, err := a.addresses()
	if err != nil {
		return err
	}
	operator := messenger.Operator{HTTP: &http.Client{Timeout: instanceTimeout}}
	for _, address := range addresses {
		err = call(operator, address)
		if err == nil || errors.As(err, new(*messenger.NotQuarantinedError)) || errors.As(err, new(*messenger.StatusError)) {
			return err
		}
	}
	return &administrator.UnreachableError{Cause: err}
}
