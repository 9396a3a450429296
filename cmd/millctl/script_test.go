package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"amaranthmill/administrator"
	"amaranthmill/auditor"
	"amaranthmill/bundler"
	"amaranthmill/internal/faker"
	"amaranthmill/internal/identifier"
)

// fleet is a fleet of one instance, one endpoint and one group.
type fleet struct{ store *bundler.Store }

func (f fleet) Instances(context.Context) ([]administrator.InstanceStatus, error) {
	version, _ := f.store.EncodedDocument()
	return []administrator.InstanceStatus{{Instance: "entry-1", FailureDomain: "alpine", Address: netip.MustParseAddrPort("10.0.0.1:8080"), BundleVersion: version, Reachable: true}}, nil
}

func (fleet) Endpoints(context.Context) ([]administrator.EndpointStatus, error) {
	return []administrator.EndpointStatus{{Endpoint: "engine-1", Kind: "engine", FailureDomain: "alpine", FabricDomain: "alpine-f1", State: "live"}}, nil
}

func (fleet) Groups(context.Context) ([]administrator.GroupStatus, error) {
	return []administrator.GroupStatus{{Group: "g1", Pool: "guides", FailureDomain: "alpine", Members: []identifier.Endpoint{"engine-1"}, Reason: "a member is missing"}}, nil
}

// operator returns an operator whose token is the name followed by "-token".
func operator(name string, roles ...administrator.Role) administrator.Operator {
	return administrator.Operator{Name: name, Roles: roles, TokenDigest: bundler.DigestOf([]byte(name + "-token")).String()}
}

// startInstance serves the administration API of one instance that accepts the keys of signers.
func startInstance(t *testing.T, platform *faker.Platform, signers bundler.Signers) *httptest.Server {
	store := bundler.NewStore(bundler.Config{Signers: signers, Platform: platform})
	trail := auditor.New(auditor.Config{Platform: platform, Instance: "entry-1"})
	registrar := bundler.NewRegistrar(bundler.RegistrarConfig{
		Signers: signers, Platform: platform, Store: store, Trail: trail,
		Inventory: func(context.Context) (*bundler.Inventory, error) {
			return &bundler.Inventory{FabricDomains: []bundler.FabricDomain{{Name: "alpine-f1", FailureDomain: "alpine", Engines: 4}}}, nil
		},
	})
	s := httptest.NewServer(administrator.Handler(administrator.Config{
		Operators: []administrator.Operator{
			operator("ada", administrator.RoleAuthor, administrator.RoleSigner),
			operator("grace", administrator.RoleSigner),
			operator("ruth", administrator.RoleReader),
		},
		Store: store, Registrar: registrar, Trail: trail, Fleet: fleet{store: store},
	}))
	t.Cleanup(s.Close)
	return s
}

func TestScripts(t *testing.T) {
	keys := t.TempDir()
	signers := bundler.Signers{}
	for _, name := range []string{"ada", "grace"} {
		signers[name] = makeKey(t, filepath.Join(keys, name+".pem"))
	}
	makeKey(t, filepath.Join(keys, "stranger.pem"))
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			s := startInstance(t, &faker.Platform{}, signers)
			env.Setenv("ADDRESS", s.Listener.Addr().String())
			env.Setenv("KEYS", keys)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){"exits": exits},
	})
}

// exits implements the script command "exits CODE OPERATOR ARGS...": it runs millctl with ARGS and
// the token of OPERATOR, and fails unless the exit code is CODE.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	line := []string{"--address", ts.Getenv("ADDRESS"), "--token", args[1] + "-token"}
	for _, arg := range args[2:] {
		if strings.HasSuffix(arg, ".json") || strings.HasSuffix(arg, ".log") {
			arg = ts.MkAbs(arg)
		}
		line = append(line, arg)
	}
	code := run(context.Background(), line, ts.Stdout(), ts.Stderr())
	if fmt.Sprint(code) != args[0] {
		ts.Fatalf("millctl exits with %d, want %s", code, args[0])
	}
}

func makeKey(t *testing.T, path string) []byte {
	t.Helper()
	if code := run(t.Context(), []string{"keys", "signer", "--out", path}, os.Stdout, os.Stderr); code != codeDone {
		t.Fatalf("keys signer exits with %d", code)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	key, err := bundler.ParsePrivateKey(text)
	if err != nil {
		t.Fatal(err)
	}
	return key[32:]
}
