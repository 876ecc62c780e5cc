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

// codeWrongIdentity is the code of calls whose content claims another host than the caller's certificate.
const codeWrongIdentity = "wrong-identity"

// openTLS reads the certificate, which must be this host's. It returns nil in plain text.
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

// adminTLS lets clients without a certificate in, because the platform's balancer has none; the handler refuses them
// all paths but those of health checks.
func (h *Host) adminTLS() *tls.Config {
	if h.tls == nil {
		return nil
	}
	return h.tls.ServerConfigOptionalCertificate(tlsconfig.Anyone)
}

// secure returns listener itself in plain text.
func secure(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

// claimed refuses requests that claim another host than the caller's certificate. Empty fields of a claim are not
// compared.
func claimed[Request, Response proto.Message](
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
		klog.Warningf("call of %s refused: it claims host %q in data centre %q", identity, claim.Name, claim.DataCentre)
		return rpc.NewError(codeWrongIdentity, "%s may not speak for host %q in data centre %q", identity, claim.Name, claim.DataCentre)
	}
	return nil
}

// ofOwnDataCentre is the claim of calls within the data centre group.
func ofOwnDataCentre[Request proto.Message](h *Host) func(Request) tlsconfig.Identity {
	return func(Request) tlsconfig.Identity { return tlsconfig.Identity{DataCentre: h.settings.GetDataCentre()} }
}
