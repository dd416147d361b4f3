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

// MinSecretBytes is the minimum length of a shared secret.
const MinSecretBytes = 16

// Keys authenticates both ends of a connection between two processes.
//
// An Ed25519 key pair is derived from each secret. A process presents a certificate
// for the key of the first secret and accepts peers with a certificate for the key of
// any of them. Secrets can thus be rotated without a restart: append the new secret on
// all processes, then move it to the front, then remove the old one.
type Keys struct {
	// current points to a keySet that is immutable once stored.
	current atomic.Pointer[keySet]
}

type keySet struct {
	certificate tls.Certificate
	trusted     []ed25519.PublicKey
}

// NewKeys returns the keys of the given secrets. The first is the one that this process presents.
func NewKeys(secrets ...string) (*Keys, error) {
	k := &Keys{}
	if err := k.Rotate(secrets...); err != nil {
		return nil, err
	}
	return k, nil
}

// Rotate replaces the secrets. Open connections are not affected.
func (k *Keys) Rotate(secrets ...string) error {
	if len(secrets) == 0 {
		return BadKey.New("no shared secret is configured")
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
		return tls.Certificate{}, BadKey.Wrap(err, "create certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey}, nil
}

// tlsConfig returns the configuration for clients and servers: both present a certificate
// and verify the key of the peer.
func (k *Keys) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// VerifyConnection checks the peer's pinned key; host names are not checked.
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
		return BadKey.New("peer sent %d certificates, want 1", len(state.PeerCertificates))
	}
	peerKey, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return BadKey.New("the key in the peer's certificate is not an Ed25519 key")
	}
	for _, trusted := range k.current.Load().trusted {
		if bytes.Equal(peerKey, trusted) {
			return nil
		}
	}
	return BadKey.New("the peer's key matches none of the shared secrets")
}
