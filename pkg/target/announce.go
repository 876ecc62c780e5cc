package target

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"net/netip"
	"regexp"

	"google.golang.org/protobuf/encoding/protojson"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Limits of announcements.
const (
	maxAnnouncementBytes = 16 << 10
	maxSlots             = 4096
	maxBootIDLength      = 128
)

// namePattern matches valid names of targets and services.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,126}[a-z0-9])?$`)

// AnnouncementOptions configure the handler of announcements.
type AnnouncementOptions struct {
	// Token is the secret that the targets of this data centre share with its hosts. It is not checked when empty.
	Token string
	// DataCentre is the data centre of this host. Announcements from other data centres are refused.
	DataCentre string
	// Accept is called with each valid announcement, whose token has been removed.
	Accept func(ctx context.Context, announcement *schemav1.Announcement) error
}

// NewAnnouncementHandler returns the handler of POST /v1/announce.
func NewAnnouncementHandler(options AnnouncementOptions) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		announcement, err := readAnnouncement(w, r)
		if err == nil {
			err = options.validate(announcement)
		}
		if err == nil {
			announcement.Token = ""
			err = options.Accept(r.Context(), announcement)
		}
		if err != nil {
			apierr.Write(w, "", err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

func readAnnouncement(w http.ResponseWriter, r *http.Request) (*schemav1.Announcement, error) {
	if r.Method != http.MethodPost {
		return nil, apierr.New(apierr.BadRequest, "announcements are sent by POST")
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		return nil, apierr.New(apierr.BodyTooLarge, "an announcement has at most %d bytes", maxAnnouncementBytes)
	}
	announcement := &schemav1.Announcement{}
	// Newer targets may send fields that this release does not know.
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, announcement); err != nil {
		return nil, apierr.New(apierr.BadRequest, "the announcement is not valid JSON of its message")
	}
	return announcement, nil
}

// validate returns a refusal that names the first invalid field, or nil.
func (o *AnnouncementOptions) validate(a *schemav1.Announcement) error {
	given, wanted := sha256.Sum256([]byte(a.GetToken())), sha256.Sum256([]byte(o.Token))
	if o.Token != "" && subtle.ConstantTimeCompare(given[:], wanted[:]) != 1 {
		return apierr.New(apierr.BadRequest, "token is wrong")
	}
	address, addressErr := netip.ParseAddrPort(a.GetAddress())
	switch {
	case !namePattern.MatchString(a.GetTarget()):
		return apierr.New(apierr.BadRequest, "target is not a valid name")
	case !namePattern.MatchString(a.GetService()):
		return apierr.New(apierr.BadRequest, "service is not a valid name")
	case a.GetDataCentre() != o.DataCentre:
		return apierr.New(apierr.BadRequest, "data_centre is not %s", o.DataCentre)
	case addressErr != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return apierr.New(apierr.BadRequest, "address is not an IP address and port")
	case a.GetBootId() == "" || len(a.GetBootId()) > maxBootIDLength:
		return apierr.New(apierr.BadRequest, "boot_id is missing or too long")
	case a.GetSequence() == 0:
		return apierr.New(apierr.BadRequest, "sequence is missing")
	case a.GetSlots() == 0 || a.GetSlots() > maxSlots:
		return apierr.New(apierr.BadRequest, "slots is not between 1 and %d", maxSlots)
	case a.GetMaxConnections() < a.GetSlots()+1:
		return apierr.New(apierr.BadRequest, "max_connections must exceed slots, because grants need a connection")
	case !(a.GetLoad() >= 0 && a.GetLoad() <= 1):
		return apierr.New(apierr.BadRequest, "load is not between 0 and 1")
	}
	return nil
}
