// Package vmflags defines the flags that vanillagate and vgsteward share, and
// builds the clients of the platform's services from them. It is separate from
// package program because vgedge does not need these clients, and linking them
// would cost it memory and startup time.
package vmflags

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/dynamo"
	"github.com/vanillagate/vanillagate/internal/backing/objects"
	"github.com/vanillagate/vanillagate/internal/backing/vmlist"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/program"
	"github.com/vanillagate/vanillagate/internal/settings"
)

// Names of the flags.
const (
	flagPeerListen  = "peer-listen"
	flagPeerKeys    = "peer-keys"
	flagPeers       = "peers"
	flagPeerCert    = "peer-tls-cert"
	flagPeerCertKey = "peer-tls-key"
	flagZone        = "zone"
	flagRegion      = "region"
	flagTableURL    = "table-url"
	flagObjectsURL  = "objects-url"
	flagVMListURL   = "vm-list-url"
	flagAccessKey   = "store-access-key"
	flagSecretKey   = "store-secret-key"
	flagLogLevel    = "log-level"
)

// All returns the flags of the programs on entry VMs.
func All() []cli.Flag {
	return []cli.Flag{
		stringFlag(flagPeerListen, "127.0.0.1:7600", "`IP:PORT` to listen on for peer processes"),
		stringFlag(flagPeerKeys, "", "shared `KEYS` of the peer processes, comma-separated; the first signs, all are accepted"),
		stringFlag(flagPeers, "", "`IP:PORT,...` of peers to contact in addition to those in the VM list"),
		stringFlag(flagPeerCert, "", "PEM `FILE` with the certificate for TLS between peer processes"),
		stringFlag(flagPeerCertKey, "", "PEM `FILE` with the key of that certificate"),
		stringFlag(flagZone, "a", "availability `ZONE` of this VM"),
		stringFlag(flagRegion, "r1", "`REGION` of this VM"),
		stringFlag(flagTableURL, "http://127.0.0.1:7001", "`URL` of the table service (DynamoDB protocol)"),
		stringFlag(flagObjectsURL, "http://127.0.0.1:7002", "`URL` of the object store (S3 protocol)"),
		stringFlag(flagVMListURL, "http://127.0.0.1:7003", "`URL` of the VM list (HTTP service discovery JSON)"),
		stringFlag(flagAccessKey, "vanillagate", "access `KEY` for the table service and the object store"),
		stringFlag(flagSecretKey, "vanillagate", "secret `KEY` for the table service and the object store"),
		stringFlag(flagLogLevel, "info", "log `LEVEL`: debug, info, warn or error"),
	}
}

func stringFlag(name, value, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: program.Env(name)}
}

// Values holds the values of the flags, and the clients built from them.
type Values struct {
	PeerListen string
	PeerKeys   []string
	Peers      []string
	PeerTLS    *tls.Config
	Zone       string
	Region     string
	LogLevel   string
	Table      backing.Table
	Objects    backing.ObjectStore
	VMs        backing.VMList
}

// Check reads and validates the flags, and records invalid values in check.
func Check(c *cli.Command, check *settings.Checker) Values {
	v := Values{
		PeerListen: c.String(flagPeerListen),
		PeerKeys:   splitList(c.String(flagPeerKeys)),
		Peers:      splitList(c.String(flagPeers)),
		Zone:       c.String(flagZone),
		Region:     c.String(flagRegion),
		LogLevel:   c.String(flagLogLevel),
	}
	check.Address(flagPeerListen, v.PeerListen)
	check.NotEmpty(flagZone, v.Zone)
	check.NotEmpty(flagRegion, v.Region)
	check.OneOf(flagLogLevel, v.LogLevel, "debug", "info", "warn", "error")
	checkKeys(v.PeerKeys, check)
	for _, address := range v.Peers {
		check.Address(flagPeers, address)
	}
	for _, name := range []string{flagTableURL, flagObjectsURL, flagVMListURL} {
		check.URL(name, c.String(name))
	}
	v.PeerTLS = trustOwnCertificates(c, Certificate(c, flagPeerCert, flagPeerCertKey, check), check)
	v.buildClients(c)
	return v
}

func checkKeys(keys []string, check *settings.Checker) {
	if len(keys) == 0 {
		check.Reject(flagPeerKeys, "", "one or more keys")
	}
	for _, key := range keys {
		if len(key) < peer.MinKeyBytes {
			check.Reject(flagPeerKeys, "(hidden)", "keys of at least 16 bytes")
		}
	}
}

// Certificate loads a certificate and its key. It returns nil if neither flag is
// set.
func Certificate(c *cli.Command, certFlag, keyFlag string, check *settings.Checker) *tls.Config {
	certFile, keyFile := c.String(certFlag), c.String(keyFlag)
	if certFile == "" && keyFile == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		check.Reject(certFlag, certFile, "a PEM file with a certificate, and "+keyFlag+" with its key ("+err.Error()+")")
		return nil
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
}

// trustOwnCertificates makes peers trust the certificates in the configured
// certificate file: either one self-signed certificate that all processes use, or
// the process's own certificate followed by that of the CA that signed all.
func trustOwnCertificates(c *cli.Command, config *tls.Config, check *settings.Checker) *tls.Config {
	if config == nil {
		return nil
	}
	path := c.String(flagPeerCert)
	raw, err := os.ReadFile(path)
	trusted := x509.NewCertPool()
	if err != nil || !trusted.AppendCertsFromPEM(raw) {
		check.Reject(flagPeerCert, path, "a PEM file with one or more certificates")
		return nil
	}
	config.RootCAs = trusted
	config.ClientCAs = trusted
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config
}

// storeRegion is the region in request signatures. The platform's services ignore
// it.
const storeRegion = "local"

func (v *Values) buildClients(c *cli.Command) {
	access, secret := c.String(flagAccessKey), c.String(flagSecretKey)
	v.Table = dynamo.New(backing.StoreConfig{
		URL: c.String(flagTableURL), Region: storeRegion, AccessKey: access, SecretKey: secret,
		HTTP: backing.DefaultHTTPConfig(),
	})
	v.Objects = objects.New(backing.StoreConfig{
		URL: c.String(flagObjectsURL), Region: storeRegion, AccessKey: access, SecretKey: secret,
		HTTP: backing.DefaultHTTPConfig(),
	})
	v.VMs = vmlist.New(c.String(flagVMListURL))
}

// Seeds returns the addresses of the peers to join: those from the flag and those
// from the VM list.
func (v *Values) Seeds(ctx context.Context) ([]string, error) {
	seeds := append([]string(nil), v.Peers...)
	vms, err := v.VMs.List(ctx)
	if err != nil && len(seeds) == 0 {
		return nil, eris.Wrap(err, "VM list")
	}
	for _, vm := range vms {
		if vm.PeerAddress != "" {
			seeds = append(seeds, vm.PeerAddress)
		}
	}
	return seeds, nil
}

// PeerOptions returns the options for the peer.Node of this process.
func (v *Values) PeerOptions(self peer.Member) peer.Options {
	return peer.Options{
		Self: self, Listen: v.PeerListen, Keys: v.PeerKeys, TLS: v.PeerTLS, Seeds: v.Seeds,
	}
}

func splitList(value string) []string {
	var parts []string
	for _, part := range strings.Split(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
