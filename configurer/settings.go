package configurer

import (
	"net/netip"

	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
)

// Settings are what one instance is told at its start. Everything else comes from the
// bundle. A zero value of an optional field means its documented default.
type Settings struct {
	Instance      identifier.Instance       `json:"instance" validate:"required"`
	FailureDomain identifier.FailureDomain  `json:"failureDomain" validate:"required"`
	Listen        Listen                    `json:"listen"`
	Platform      Platform                  `json:"platform"`
	Peers         []Peer                    `json:"peers" validate:"dive"` // known before the platform's list is read
	TLS           TLS                       `json:"tls"`
	Signers       []Signer                  `json:"signers" validate:"min=1,unique=Name,dive"`
	Operators     []Operator                `json:"operators" validate:"min=1,unique=Name,dive"`
	FenceChecked  []identifier.FabricDomain `json:"fenceChecked"` // fabric domains whose engines refuse old fencing numbers
	Limits        Limits                    `json:"limits"`
	Log           Log                       `json:"log"`
}

// Listen has the addresses that the instance listens on.
type Listen struct {
	Callers        netip.AddrPort `json:"callers" validate:"required"`
	Administration netip.AddrPort `json:"administration" validate:"required"`
	Peers          netip.AddrPort `json:"peers" validate:"required"`
}

// Platform says where the platform's service is and how many calls the instance may make.
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

// TLS has the files of the instance's certificate and key and of the authorities that
// sign the certificates of its peers, all in PEM. They are read again when they change.
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

// Limits bound what one instance takes on.
type Limits struct {
	BodySize   int64              `json:"bodySize" validate:"gte=0"` // bytes of a request's body; default 1 MiB
	StopNotice formatter.Duration `json:"stopNotice"`                // between not ready and no new connections; default 2s
	StopLimit  formatter.Duration `json:"stopLimit"`                 // of the whole graceful shutdown; default 60s
}

// Log says what is logged.
type Log struct {
	Level string `json:"level" validate:"omitempty,oneof=debug info warn error"` // default info
}
