package configurer

import (
	"net/netip"

	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
)

// Settings are the settings that one instance reads when it starts. All other configuration is in
// the bundle. A zero value of an optional field selects its documented default.
type Settings struct {
	Instance      identifier.Instance       `json:"instance" validate:"required"`
	FailureDomain identifier.FailureDomain  `json:"failureDomain" validate:"required"`
	Listen        Listen                    `json:"listen"`
	Platform      Platform                  `json:"platform"`
	Peers         []Peer                    `json:"peers" validate:"dive"` // instances that are known before the platform's list is read
	TLS           TLS                       `json:"tls"`
	Signers       []Signer                  `json:"signers" validate:"min=1,unique=Name,dive"`
	Operators     []Operator                `json:"operators" validate:"min=1,unique=Name,dive"`
	FenceChecked  []identifier.FabricDomain `json:"fenceChecked"` // fabric domains whose engines refuse old fencing numbers
	Limits        Limits                    `json:"limits"`
	Callers       Callers                   `json:"callers"`
	Log           Log                       `json:"log"`
}

// Listen holds the addresses that the instance listens on.
type Listen struct {
	Callers        netip.AddrPort `json:"callers" validate:"required"`
	Administration netip.AddrPort `json:"administration" validate:"required"`
	Peers          netip.AddrPort `json:"peers" validate:"required"`
}

// Platform holds the address of the platform's store and the rates at which the instance may
// call it.
type Platform struct {
	Address         netip.AddrPort     `json:"address" validate:"required"`
	Timeout         formatter.Duration `json:"timeout"`                          // of one call; default 2s
	ReadsPerSecond  float64            `json:"readsPerSecond" validate:"gte=0"`  // default 20
	WritesPerSecond float64            `json:"writesPerSecond" validate:"gte=0"` // default 10
}

// Peer is another instance.
type Peer struct {
	Instance      identifier.Instance      `json:"instance" validate:"required"`
	FailureDomain identifier.FailureDomain `json:"failureDomain" validate:"required"`
	Address       netip.AddrPort           `json:"address" validate:"required"`
}

// TLS names the files of the instance's certificate and key, and of the authorities that sign
// the certificates of its peers, all in PEM. The files are read again when they change.
type TLS struct {
	Certificate string `json:"certificate" validate:"required"`
	Key         string `json:"key" validate:"required"`
	Authorities string `json:"authorities" validate:"required"`
}

// Signer may sign off bundles.
type Signer struct {
	Name      string `json:"name" validate:"required"`
	PublicKey string `json:"publicKey" validate:"required,base64"` // Ed25519
}

// Operator may call the administration API.
type Operator struct {
	Name        string   `json:"name" validate:"required"`
	Roles       []string `json:"roles" validate:"min=1,dive,oneof=author signer reader"`
	TokenDigest string   `json:"tokenDigest" validate:"required,hexadecimal,len=64"` // SHA-256 of the token
}

// Limits bounds the size of requests and the times of a stop.
type Limits struct {
	BodySize   int64              `json:"bodySize" validate:"gte=0"` // maximum size of a request's body in bytes; default 1 MiB
	StopNotice formatter.Duration `json:"stopNotice"`                // from the report that the instance is not ready until it accepts no more connections; default 2s
	StopLimit  formatter.Duration `json:"stopLimit"`                 // maximum duration of the graceful shutdown; default 60s
}

// Log configures the log.
type Log struct {
	Level string `json:"level" validate:"omitempty,oneof=debug info warn error"` // default info
}
