package host

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

// codeWrongIdentity is the error code of calls whose request names another host than the peer's certificate.
const codeWrongIdentity = "wrong-identity"

// openTLS loads the TLS files and verifies that the certificate is this host's. It returns nil when TLS is off.
func openTLS(settings *schemav1.HostSettings) (*tlsconfig.Source, error) {
	source, err := tlsconfig.Open(tlsconfig.Files{
		Certificate: settings.GetCertificate(), Key: settings.GetKey(), Authorities: settings.GetAuthorities(),
	}, settings.GetInsecure())
	if err != nil {
		return nil, err
	}
	if source == nil {
		klog.Warningf("host %s runs in plain text (--insecure): anyone who reaches its rpc, data and admin addresses can control it",
			settings.GetName())
		return nil, nil //nolint:nilnil // no source means plain text
	}
	want := tlsconfig.Identity{DataCentre: settings.GetDataCentre(), Name: settings.GetName()}
	if found := source.Identity(); found != want {
		return nil, merry.Wrap(&tlsconfig.IdentityError{RejectedIdentity: found.String(), Reason: "the settings say " + want.String()})
	}
	return source, nil
}

func (h *Host) clientTLS() *tls.Config {
	if h.tls == nil {
		return nil
	}
	return h.tls.ClientConfig(tlsconfig.AnyHost)
}

func (h *Host) serverTLS() *tls.Config {
	if h.tls == nil {
		return nil
	}
	return h.tls.ServerConfig(tlsconfig.AnyHost)
}

// adminTLS accepts clients without a certificate, because the platform's load balancer has none. The handler allows them
// only the paths of health checks.
func (h *Host) adminTLS() *tls.Config {
	if h.tls == nil {
		return nil
	}
	return h.tls.ServerConfigOptionalCertificate(tlsconfig.Anyone)
}

// withTLS wraps listener in TLS, or returns listener itself when config is nil.
func withTLS(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

// withClaimCheck returns a handler that refuses requests whose claimed identity differs from the peer's certificate. claim
// returns the identity that a request claims. Its empty fields are not compared.
func withClaimCheck[Request, Response proto.Message](
	h *Host, claim func(Request) tlsconfig.Identity, handler func(context.Context, Request) (Response, error),
) func(context.Context, Request) (Response, error) {
	return func(ctx context.Context, request Request) (Response, error) {
		if err := h.checkClaim(ctx, claim(request)); err != nil {
			var none Response
			return none, err
		}
		return handler(ctx, request)
	}
}

func (h *Host) checkClaim(ctx context.Context, claim tlsconfig.Identity) error {
	if h.tls == nil {
		return nil
	}
	peer, _ := rpc.PeerFromContext(ctx)
	identity, err := tlsconfig.PeerIdentity(peer.TLS)
	if err != nil {
		return rpc.NewError(codeWrongIdentity, "%v", err)
	}
	nameDiffers := claim.Name != "" && claim.Name != identity.Name
	dataCentreDiffers := claim.DataCentre != "" && claim.DataCentre != identity.DataCentre
	if nameDiffers || dataCentreDiffers {
		klog.Warningf("refused a call from %s: the request claims to come from host %q in data centre %q", identity, claim.Name, claim.DataCentre)
		return rpc.NewError(codeWrongIdentity, "%s may not speak for host %q in data centre %q", identity, claim.Name, claim.DataCentre)
	}
	return nil
}

// claimOwnDataCentre returns the claim of calls that only hosts of this host's data centre may make.
func claimOwnDataCentre[Request proto.Message](h *Host) func(Request) tlsconfig.Identity {
	return func(Request) tlsconfig.Identity { return tlsconfig.Identity{DataCentre: h.settings.GetDataCentre()} }
}
