// Package cert makes the fleet's certificate authority and the certificates of its VMs, and builds the mutual TLS
// configurations that accept only them.
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
	backdate   = 5 * time.Minute // tolerated difference between wall clocks
	keyPerm    = 0o600
	certPerm   = 0o644
	folderPerm = 0o700
)

// NewCA writes a fleet authority named fleet into folder, valid from now for life. It refuses to replace one.
func NewCA(folder, fleet string, now time.Time, life time.Duration) error {
	if _, err := os.Stat(filepath.Join(folder, CAKeyFile)); err == nil {
		return errors.AlreadyExistsf("fleet authority in %s", folder)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Annotate(err, "generate authority key")
	}
	tmpl, err := template(pkix.Name{CommonName: "fleet authority", Organization: []string{fleet}}, now, life)
	if err != nil {
		return err
	}
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return errors.Annotate(err, "sign authority")
	}
	return writePair(folder, CAFile, CAKeyFile, der, key)
}

// NewVM writes a certificate for vm in zone into folder, signed by the authority in ca.
func NewVM(ca, folder string, vm id.VM, zone id.Zone, now time.Time, life time.Duration) error {
	parent, err := tls.LoadX509KeyPair(filepath.Join(ca, CAFile), filepath.Join(ca, CAKeyFile))
	if err != nil {
		return errors.Annotate(err, "load authority")
	}
	root, err := x509.ParseCertificate(parent.Certificate[0])
	if err != nil {
		return errors.Annotate(err, "parse authority")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Annotate(err, "generate VM key")
	}
	name := pkix.Name{CommonName: string(vm), Organization: root.Subject.Organization, Locality: []string{string(zone)}}
	tmpl, err := template(name, now, life)
	if err != nil {
		return err
	}
	tmpl.DNSNames = []string{string(vm)}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, root, &key.PublicKey, parent.PrivateKey)
	if err != nil {
		return errors.Annotatef(err, "sign certificate of %s", vm)
	}
	if err := writePair(folder, VMFile, VMKeyFile, der, key); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, CAFile), "CERTIFICATE", root.Raw, certPerm)
}

func template(name pkix.Name, now time.Time, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Annotate(err, "choose serial number")
	}
	return &x509.Certificate{SerialNumber: serial, Subject: name, NotBefore: now.Add(-backdate), NotAfter: now.Add(life)}, nil
}

func writePair(folder, certName, keyName string, der []byte, key *ecdsa.PrivateKey) error {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return errors.Annotate(err, "create certificate folder")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Annotate(err, "encode key")
	}
	if err := writePEM(filepath.Join(folder, keyName), "PRIVATE KEY", raw, keyPerm); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, certName), "CERTIFICATE", der, certPerm)
}

// writePEM replaces path atomically, so that a running VM never reads half a file.
func writePEM(path, kind string, der []byte, perm os.FileMode) error {
	tmp := path + ".tmp"
	if err := os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), perm); err != nil {
		return errors.Annotate(err, "write certificate")
	}
	return errors.Annotate(os.Rename(tmp, path), "replace certificate")
}

// Store loads the certificate of this VM and reloads it when its file changes.
type Store struct {
	folder string
	roots  *x509.CertPool // nil trusts whoever reaches this VM
	fleet  string

	mu    sync.Mutex
	mtime time.Time
	pair  *tls.Certificate
}

// Load reads the certificate folder of a VM.
func Load(folder string) (*Store, error) {
	raw, err := os.ReadFile(filepath.Join(folder, CAFile))
	if err != nil {
		return nil, errors.Annotate(err, "read fleet authority")
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, errors.NotValidf("%s: no PEM block, so it", filepath.Join(folder, CAFile))
	}
	root, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, errors.Annotate(err, "parse fleet authority")
	}
	s := &Store{folder: folder, roots: x509.NewCertPool()}
	s.roots.AddCert(root)
	if len(root.Subject.Organization) > 0 {
		s.fleet = root.Subject.Organization[0]
	}
	if _, err := s.current(); err != nil {
		return nil, err
	}
	return s, nil
}

// ephemeralLife is the validity of a certificate that is made at every start.
const ephemeralLife = 10 * 365 * 24 * time.Hour

// Ephemeral returns a store with a key made now that trusts every peer. It is for networks that only the fleet reaches:
// traffic is encrypted, and whoever gets into the network can pass for a VM.
func Ephemeral(vm id.VM, zone id.Zone, now time.Time) (*Store, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Annotate(err, "generate VM key")
	}
	// The wall clock may be far off at the start, and nobody checks the dates of these certificates.
	tmpl, err := template(pkix.Name{CommonName: string(vm), Locality: []string{string(zone)}}, now, ephemeralLife)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Annotatef(err, "sign certificate of %s", vm)
	}
	return &Store{pair: &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}, nil
}

// Fleet returns the name of the fleet that the authority belongs to.
func (s *Store) Fleet() string { return s.fleet }

// current returns the certificate on disk, reading it again after a renewal. While a renewal is half written the
// earlier pair stays in use.
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

// Server returns the TLS configuration that accepts only VMs of the fleet.
func (s *Store) Server(protocol string) *tls.Config {
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

// Client returns the TLS configuration that trusts only VMs of the fleet. An empty vm accepts any of them.
func (s *Store) Client(protocol string, vm id.VM) *tls.Config {
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
		cfg.InsecureSkipVerify = true // replaced by verifyMember, which leaves only the name out
		cfg.VerifyConnection = s.verifyMember
	}
	return cfg
}

func (s *Store) verifyMember(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	if s.roots == nil {
		return nil
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: s.roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	return errors.Annotate(err, "verify peer")
}

// Peer returns the VM that a verified connection belongs to.
func Peer(cs tls.ConnectionState) (id.VM, error) {
	if len(cs.PeerCertificates) == 0 || cs.PeerCertificates[0].Subject.CommonName == "" {
		return "", errors.New("the peer certificate names no VM")
	}
	return id.VM(cs.PeerCertificates[0].Subject.CommonName), nil
}
