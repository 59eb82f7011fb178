// Package vmflags has the flags that vanillagate and vgsteward share, and what is
// made from them. It stands apart from package program because it links the
// clients of table service and object store: vgedge needs none of them, and pays
// for what it links in memory and in time to start.
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

// Names of the flags that the programs on entry VMs share.
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

// All are the flags of every program on an entry VM.
func All() []cli.Flag {
	return []cli.Flag{
		text(flagPeerListen, "127.0.0.1:7600", "`IP:PORT` for the system's own processes"),
		text(flagPeerKeys, "", "shared `KEYS` between the processes, comma-separated; the first signs, all are accepted"),
		text(flagPeers, "", "`IP:PORT,...` of peers to try besides those of the VM list"),
		text(flagPeerCert, "", "PEM `FILE` with the certificate for TLS between the processes"),
		text(flagPeerCertKey, "", "PEM `FILE` with that certificate's key"),
		text(flagZone, "a", "availability `ZONE` of this VM"),
		text(flagRegion, "r1", "`REGION` of this VM"),
		text(flagTableURL, "http://127.0.0.1:7001", "`URL` of the table service (DynamoDB protocol)"),
		text(flagObjectsURL, "http://127.0.0.1:7002", "`URL` of the object store (S3 protocol)"),
		text(flagVMListURL, "http://127.0.0.1:7003", "`URL` of the VM list (HTTP service discovery JSON)"),
		text(flagAccessKey, "vanillagate", "access `KEY` of table service and object store"),
		text(flagSecretKey, "vanillagate", "secret `KEY` of table service and object store"),
		text(flagLogLevel, "info", "`LEVEL` of logs: debug, info, warn or error"),
	}
}

func text(name, value, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: program.Env(name)}
}

// Values are the checked values of All.
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

// Check reads the values and notes what can't be used.
func Check(c *cli.Command, check *settings.Checker) Values {
	sh := Values{
		PeerListen: c.String(flagPeerListen),
		PeerKeys:   list(c.String(flagPeerKeys)),
		Peers:      list(c.String(flagPeers)),
		Zone:       c.String(flagZone),
		Region:     c.String(flagRegion),
		LogLevel:   c.String(flagLogLevel),
	}
	check.Address(flagPeerListen, sh.PeerListen)
	check.NotEmpty(flagZone, sh.Zone)
	check.NotEmpty(flagRegion, sh.Region)
	check.OneOf(flagLogLevel, sh.LogLevel, "debug", "info", "warn", "error")
	checkKeys(sh.PeerKeys, check)
	for _, address := range sh.Peers {
		check.Address(flagPeers, address)
	}
	for _, name := range []string{flagTableURL, flagObjectsURL, flagVMListURL} {
		check.URL(name, c.String(name))
	}
	sh.PeerTLS = trustOwn(c, Certificate(c, flagPeerCert, flagPeerCertKey, check), check)
	sh.connect(c)
	return sh
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

// Certificate loads a certificate and its key, or gives nil where neither
// is set.
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

// trustOwn has processes accept each other by the certificates in their own
// file: the same self-signed one everywhere, or one's own and behind it that of
// the authority which signed all.
func trustOwn(c *cli.Command, config *tls.Config, check *settings.Checker) *tls.Config {
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

// storeRegion signs requests; the platform's stores don't look at it.
const storeRegion = "local"

func (sh *Values) connect(c *cli.Command) {
	access, secret := c.String(flagAccessKey), c.String(flagSecretKey)
	sh.Table = dynamo.New(backing.StoreConfig{
		URL: c.String(flagTableURL), Region: storeRegion, AccessKey: access, SecretKey: secret,
		HTTP: backing.DefaultHTTPConfig(),
	})
	sh.Objects = objects.New(backing.StoreConfig{
		URL: c.String(flagObjectsURL), Region: storeRegion, AccessKey: access, SecretKey: secret,
		HTTP: backing.DefaultHTTPConfig(),
	})
	sh.VMs = vmlist.New(c.String(flagVMListURL))
}

// Seeds gives the peer addresses to join by: those of the VM list, and those
// of the settings.
func (sh *Values) Seeds(ctx context.Context) ([]string, error) {
	seeds := append([]string(nil), sh.Peers...)
	vms, err := sh.VMs.List(ctx)
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

// PeerOptions are the options of this process's Node.
func (sh *Values) PeerOptions(self peer.Member) peer.Options {
	return peer.Options{
		Self: self, Listen: sh.PeerListen, Keys: sh.PeerKeys, TLS: sh.PeerTLS, Seeds: sh.Seeds,
	}
}

func list(value string) []string {
	var parts []string
	for _, part := range strings.Split(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
