package wire

import (
	"bytes"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"sync/atomic"
	"time"
)

// MinSecretBytes is the shortest accepted shared secret, in bytes.
const MinSecretBytes = 16

// Keys authenticate both ends of a connection between two processes.
//
// Each secret is stretched to an Ed25519 key pair. A process proves that it
// knows the first secret by a certificate of that pair, and accepts a peer that
// proves any of them, so that secrets can be rotated without a restart:
// add the new one last everywhere, then move it first, then drop the old one.
type Keys struct {
	// current is immutable after it is published.
	current atomic.Pointer[keySet]
}

type keySet struct {
	certificate tls.Certificate
	trusted     []ed25519.PublicKey
}

// NewKeys returns keys for the given secrets, the one in use first.
func NewKeys(secrets ...string) (*Keys, error) {
	k := &Keys{}
	if err := k.Rotate(secrets...); err != nil {
		return nil, err
	}
	return k, nil
}

// Rotate replaces the secrets; open connections go on.
func (k *Keys) Rotate(secrets ...string) error {
	if len(secrets) == 0 {
		return BadKey.New("no shared secret is set")
	}
	set := &keySet{}
	for i, s := range secrets {
		if len(s) < MinSecretBytes {
			return BadKey.New("shared secret %d has fewer than %d bytes", i+1, MinSecretBytes)
		}
		privateKey, err := deriveKey(s)
		if err != nil {
			return err
		}
		set.trusted = append(set.trusted, privateKey.Public().(ed25519.PublicKey))
		if i > 0 {
			continue
		}
		set.certificate, err = selfSignedCertificate(privateKey)
		if err != nil {
			return err
		}
	}
	k.current.Store(set)
	return nil
}

func deriveKey(secret string) (ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, "egretshunt peer key 1", ed25519.SeedSize)
	if err != nil {
		return nil, BadKey.Wrap(err, "derive key")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func selfSignedCertificate(privateKey ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "egretshunt"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<33, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, privateKey.Public(), privateKey)
	if err != nil {
		return tls.Certificate{}, BadKey.Wrap(err, "make certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey}, nil
}

// tlsConfig serves both ends: each presents a certificate and checks the other's key.
func (k *Keys) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// The peer is checked by its pinned key in VerifyConnection, not by a name.
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		VerifyConnection: k.verify,
	}
}

func (k *Keys) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return BadKey.New("peer sent %d certificates, want one", len(state.PeerCertificates))
	}
	peerKey, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return BadKey.New("peer key is not Ed25519")
	}
	for _, trusted := range k.current.Load().trusted {
		if bytes.Equal(peerKey, trusted) {
			return nil
		}
	}
	return BadKey.New("peer does not know a shared secret of this system")
}
