// Package cert creates the fleet's certificate authority (CA) and the certificates of its VMs, and builds the mutual TLS
// configurations that accept only these certificates.
package cert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/id"
)

// File names inside a certificate folder.
const (
	CAFile    = "ca.pem"
	CAKeyFile = "ca-key.pem"
	VMFile    = "vm.pem"
	VMKeyFile = "vm-key.pem"
)

const (
	serialBits = 120
	backdate   = 5 * time.Minute // validity starts this long before now, to tolerate differences between wall clocks
	keyPerm    = 0o600
	certPerm   = 0o644
	folderPerm = 0o700
)

// NewCA writes a CA certificate and key for fleet into folder. It returns an error if folder already holds a CA key.
func NewCA(folder, fleet string, now time.Time, validity time.Duration) error {
	if _, err := os.Stat(filepath.Join(folder, CAKeyFile)); err == nil {
		return errors.AlreadyExistsf("CA key in %s", folder)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Annotate(err, "generate CA key")
	}
	tmpl, err := newTemplate(pkix.Name{CommonName: "fleet authority", Organization: []string{fleet}}, now, validity)
	if err != nil {
		return err
	}
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return errors.Annotate(err, "sign CA certificate")
	}
	return writeCertAndKey(folder, CAFile, CAKeyFile, der, key)
}

// NewVM writes a certificate and key for vm in zone, and the CA certificate, into folder. The CA in caFolder signs the
// certificate.
func NewVM(caFolder, folder string, vm id.VM, zone id.Zone, now time.Time, validity time.Duration) error {
	parent, err := tls.LoadX509KeyPair(filepath.Join(caFolder, CAFile), filepath.Join(caFolder, CAKeyFile))
	if err != nil {
		return errors.Annotate(err, "load CA certificate and key")
	}
	caCert, err := x509.ParseCertificate(parent.Certificate[0])
	if err != nil {
		return errors.Annotate(err, "parse CA certificate")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Annotate(err, "generate VM key")
	}
	name := pkix.Name{CommonName: string(vm), Organization: caCert.Subject.Organization, Locality: []string{string(zone)}}
	tmpl, err := newTemplate(name, now, validity)
	if err != nil {
		return err
	}
	tmpl.DNSNames = []string{string(vm)}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, caCert, &key.PublicKey, parent.PrivateKey)
	if err != nil {
		return errors.Annotatef(err, "sign certificate of %s", vm)
	}
	if err := writeCertAndKey(folder, VMFile, VMKeyFile, der, key); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, CAFile), "CERTIFICATE", caCert.Raw, certPerm)
}

// newTemplate returns a certificate template with a random serial number.
func newTemplate(name pkix.Name, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Annotate(err, "generate serial number")
	}
	return &x509.Certificate{SerialNumber: serial, Subject: name, NotBefore: now.Add(-backdate), NotAfter: now.Add(validity)}, nil
}

// writeCertAndKey writes the certificate der and its key as PEM files into folder, which it creates if necessary.
func writeCertAndKey(folder, certName, keyName string, der []byte, key *ecdsa.PrivateKey) error {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return errors.Annotate(err, "create certificate folder")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Annotate(err, "encode private key")
	}
	if err := writePEM(filepath.Join(folder, keyName), "PRIVATE KEY", raw, keyPerm); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, certName), "CERTIFICATE", der, certPerm)
}

// writePEM replaces path atomically, so that a running VM never reads a partly written file.
func writePEM(path, kind string, der []byte, perm os.FileMode) error {
	tmp := path + ".tmp"
	if err := os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), perm); err != nil {
		return errors.Annotate(err, "write PEM file")
	}
	return errors.Annotate(os.Rename(tmp, path), "replace PEM file")
}

// Store provides the certificate of this VM and reloads it when its file changes.
type Store struct {
	folder string
	roots  *x509.CertPool // nil accepts any peer certificate
	fleet  string

	mu    sync.Mutex
	mtime time.Time
	pair  *tls.Certificate
}

// Load returns a store for the certificate folder of a VM.
func Load(folder string) (*Store, error) {
	raw, err := os.ReadFile(filepath.Join(folder, CAFile))
	if err != nil {
		return nil, errors.Annotate(err, "read CA certificate")
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, errors.NotValidf("%s (contains no PEM block)", filepath.Join(folder, CAFile))
	}
	caCert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, errors.Annotate(err, "parse CA certificate")
	}
	s := &Store{folder: folder, roots: x509.NewCertPool()}
	s.roots.AddCert(caCert)
	if len(caCert.Subject.Organization) > 0 {
		s.fleet = caCert.Subject.Organization[0]
	}
	if _, err := s.current(); err != nil {
		return nil, err
	}
	return s, nil
}

// ephemeralValidity is the validity of a certificate that is created at each start.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

// NewEphemeral returns a store with a newly generated key that accepts any peer certificate. Use it only in networks that
// nothing but the fleet can reach: traffic is encrypted, but any host in the network can impersonate a VM.
func NewEphemeral(vm id.VM, zone id.Zone, now time.Time) (*Store, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Annotate(err, "generate VM key")
	}
	// The wall clock may be far off at start, which does no harm: peers do not check the dates of these certificates.
	tmpl, err := newTemplate(pkix.Name{CommonName: string(vm), Locality: []string{string(zone)}}, now, ephemeralValidity)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Annotatef(err, "sign certificate of %s", vm)
	}
	return &Store{pair: &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}, nil
}

// Secret returns bytes that are the same after a restart of this VM and, with a certificate of the fleet, known to it only.
func (s *Store) Secret() ([]byte, error) {
	if s.roots == nil {
		leaf, err := x509.ParseCertificate(s.pair.Certificate[0])
		if err != nil {
			return nil, errors.Annotate(err, "parse own certificate")
		}
		return []byte(leaf.Subject.String()), nil
	}
	pair, err := s.current()
	if err != nil {
		return nil, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	return der, errors.Annotate(err, "encode VM key")
}

// FleetName returns the name of the fleet from the CA certificate.
func (s *Store) FleetName() string { return s.fleet }

// current returns the certificate on disk and reloads it after a renewal. If the new certificate and key cannot be loaded,
// such as when only one of them has been replaced, the previous pair stays in use.
func (s *Store) current() (*tls.Certificate, error) {
	if s.roots == nil {
		return s.pair, nil
	}
	path := filepath.Join(s.folder, VMFile)
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(path)
	if err == nil && s.pair != nil && info.ModTime().Equal(s.mtime) {
		return s.pair, nil
	}
	var pair tls.Certificate
	if err == nil {
		pair, err = tls.LoadX509KeyPair(path, filepath.Join(s.folder, VMKeyFile))
	}
	if err != nil {
		if s.pair != nil {
			return s.pair, nil
		}
		return nil, errors.Annotate(err, "load VM certificate")
	}
	s.pair, s.mtime = &pair, info.ModTime()
	return s.pair, nil
}

// ServerConfig returns a TLS server configuration that requires a certificate of a VM of the fleet. An ephemeral store accepts
// any client certificate.
func (s *Store) ServerConfig(protocol string) *tls.Config {
	auth := tls.RequireAndVerifyClientCert
	if s.roots == nil {
		auth = tls.RequireAnyClientCert
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{protocol},
		ClientAuth:     auth,
		ClientCAs:      s.roots,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current() },
	}
}

// ClientConfig returns a TLS client configuration that trusts only VMs of the fleet. If vm is empty, it accepts any of them, and
// an ephemeral store accepts any certificate.
func (s *Store) ClientConfig(protocol string, vm id.VM) *tls.Config {
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		RootCAs:    s.roots,
		ServerName: string(vm),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current()
		},
	}
	if vm == "" {
		cfg.InsecureSkipVerify = true // verifyPeer checks everything but the name instead
		cfg.VerifyConnection = s.verifyPeer
	}
	return cfg
}

// verifyPeer checks that the fleet's CA has signed the server certificate, without checking its name.
func (s *Store) verifyPeer(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	if s.roots == nil {
		return nil
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: s.roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	return errors.Annotate(err, "verify peer")
}

// PeerVM returns the name of the VM at the other end of a verified connection, from its certificate.
func PeerVM(cs tls.ConnectionState) (id.VM, error) {
	if len(cs.PeerCertificates) == 0 || cs.PeerCertificates[0].Subject.CommonName == "" {
		return "", errors.New("the peer certificate names no VM")
	}
	return id.VM(cs.PeerCertificates[0].Subject.CommonName), nil
}
