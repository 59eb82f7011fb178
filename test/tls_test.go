package test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// selfSignedCert writes a self-signed certificate for 127.0.0.1 and its key,
// and returns both files and a pool that trusts it.
func selfSignedCert(t *testing.T) (certFile, keyFile string, trusted *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "vanillagate test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, certFile, "CERTIFICATE", der)
	writePEM(t, keyFile, "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	trusted = x509.NewCertPool()
	trusted.AddCert(cert)
	return certFile, keyFile, trusted
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func TestTLSBetweenProcesses(t *testing.T) {
	cert, key, _ := selfSignedCert(t)
	c := startCluster(t, clusterOptions{flags: []string{"--peer-tls-cert", cert, "--peer-tls-key", key}})
	c.waitLinked()
	assert.Equal(t, sendNow(c.entries[1].address, pipelineRequest("Q", 8)).output(t), wholeText("Q", 8))
}

func TestTLSForCallers(t *testing.T) {
	cert, key, trusted := selfSignedCert(t)
	c := startCluster(t, clusterOptions{})
	row := c.fleetFile.Entries[2]
	c.entries[2].kill(t)
	secure := c.startEntry(row, "--tls-cert", cert, "--tls-key", key)
	https := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trusted}}}
	ask := func() (int, string) {
		req, err := http.NewRequest(http.MethodPost, "https://"+secure.address+"/v1/pipelines/quote",
			strings.NewReader(`{"input":"x [ref:T]","max_tokens":4}`))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+customerKey)
		resp, err := https.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode, string(body)
	}
	waitFor(t, "an answer over TLS", func() bool {
		status, body := ask()
		return status == http.StatusOK && strings.Contains(body, wholeText("T", 4))
	})
	assert.Assert(t, !httpOK("http://"+secure.address+"/readyz"), "answered in clear text")
}
