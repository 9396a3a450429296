package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"text/tabwriter"

	"amaranthmill/administrator"
)

// client returns a client of the administration API, configured by the global options.
func (a *app) client() (*administrator.Client, error) {
	addresses, err := a.addresses()
	if err != nil {
		return nil, err
	}
	if a.Token == "" {
		return nil, &usageError{message: "no token; set MILLCTL_TOKEN or give --token"}
	}
	return administrator.NewClient(administrator.ClientConfig{Addresses: addresses, Token: a.Token}), nil
}

// addresses returns the addresses of the global options. Its error is *usageError.
func (a *app) addresses() ([]netip.AddrPort, error) {
	if len(a.Address) == 0 {
		return nil, &usageError{message: "no address; give --address IP:PORT or set MILLCTL_ADDRESS"}
	}
	var addresses []netip.AddrPort
	for _, text := range a.Address {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, &usageError{message: fmt.Sprintf("--address: %q is not IP:PORT, such as 10.1.0.7:8081", text)}
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// showResult writes v as JSON if JSON output is chosen, and otherwise calls printText.
func (a *app) showResult(v any, printText func()) error {
	if a.Output != "json" {
		printText()
		return nil
	}
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// callAndShow makes one call of the API and shows the result. printText prints it as text.
func callAndShow[T any](a *app, call func(*administrator.Client) (T, error), printText func(T)) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	result, err := call(client)
	if err != nil {
		return err
	}
	return a.showResult(result, func() { printText(result) })
}

func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.stdout, format, args...)
}

// table writes a heading and rows in aligned columns. Cells are separated by tabs.
func (a *app) table(heading string, rows []string) {
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, heading)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	_ = w.Flush() // a write error on standard output cannot be reported there
}
