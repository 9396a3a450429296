package grouper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"amaranthmill/internal/identifier"
)

// orderWire is the JSON body of POST /orders, sent to an engine.
type orderWire struct {
	Fence         uint64                   `json:"fence"`
	Deadline      time.Time                `json:"deadline"`
	Kind          OrderKind                `json:"kind"`
	Group         identifier.Group         `json:"group"`
	Epoch         identifier.Epoch         `json:"epoch"`
	Members       []memberWire             `json:"members"`
	BundleVersion identifier.BundleVersion `json:"bundleVersion"`
	Base          string                   `json:"base"`
	Version       string                   `json:"version"`
	Adapters      []string                 `json:"adapters"`
}

// memberWire is a member of the group in an order.
type memberWire struct {
	Endpoint identifier.Endpoint `json:"endpoint"`
	Address  netip.AddrPort      `json:"address"`
}

// orderAnswer contains the fields of an engine's answer to an order that the grouper uses.
type orderAnswer struct {
	ProcessStart identifier.ProcessStart `json:"processStart"`
}

// OrderRefusedError says that an endpoint refused an order: with status 409 because the
// fencing number is old, or with 410 because the order arrived after its deadline.
type OrderRefusedError struct {
	Endpoint identifier.Endpoint
	Status   int
}

// Error returns a message with the endpoint and the HTTP status.
func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("grouper: endpoint %s refused an order with status %d", e.Endpoint, e.Status)
}

// postOrder sends o and returns the process start of the endpoint that accepted it.
func postOrder(ctx context.Context, client *http.Client, o Order) (identifier.ProcessStart, error) {
	body, err := json.Marshal(encodeOrder(o))
	if err != nil {
		return 0, eris.Wrap(err, "encode an order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address.String()+"/orders", bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "build the order request")
	}
	req.GetBody = nil // prevents the HTTP client from sending the order again without the knowledge of the grouper
	resp, err := client.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "send an order")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, &OrderRefusedError{Endpoint: o.Endpoint, Status: resp.StatusCode}
	}
	var answer orderAnswer
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxAnswerSize)).Decode(&answer); err != nil {
		return 0, eris.Wrap(err, "decode the answer to an order")
	}
	return answer.ProcessStart, nil
}

// maxAnswerSize limits the size of an engine's answer to an order, in bytes.
const maxAnswerSize = 1 << 20

func encodeOrder(o Order) orderWire {
	w := orderWire{Fence: o.Fence, Deadline: o.Deadline, Kind: o.Kind, Members: []memberWire{}, Adapters: []string{}}
	if o.Kind == OrderRelease {
		return w
	}
	for _, m := range o.Group.Members {
		w.Members = append(w.Members, memberWire{Endpoint: m.Endpoint, Address: m.Address})
	}
	w.Group, w.Epoch, w.BundleVersion = o.Group.Group, o.Group.Epoch, o.Group.BundleVersion
	w.Base, w.Version = o.Group.Base, o.Group.Version // OrderLoad sets only these fields
	w.Adapters = append(w.Adapters, o.Group.Adapters...)
	return w
}
